"""Record of a request as a stand-in server received it."""

__all__ = ["ReceivedRequest"]


class ReceivedRequest:
    """Request that a stand-in received, byte for byte.

    Parameters
    ----------
    method, target : str
        Method and request target (path and query) of the request line.
    headers : list of tuple
        ``(name, value)`` in the order received, with repeated names.
    body : bytes

    Attributes
    ----------
    is_run : bool
        Whether the server began to work on it.
    """

    __slots__ = ("body", "headers", "is_run", "method", "target")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.is_run = False

    def read_values(self, name):
        """Return the values of all headers called `name`, which is compared without case."""
        return [value for field, value in self.headers if field.lower() == name.lower()]
