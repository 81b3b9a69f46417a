"""Delivery of the chunks and the end of an attempt to its entry node."""

from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.peer_messages import AttemptChunk, AttemptEnd

__all__ = ["ResponseSender"]


class ResponseSender:
    """Delivers responses locally if this node is the entry node, else over the peer link.

    Parameters
    ----------
    node : Node
    """

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    def send_chunk(self, attempt, position, text, now, out):
        """Send a chunk; `position` counts the chunks of this run from 0."""
        forward = attempt.forward
        response_position = forward.position + position
        chunk = AttemptChunk(attempt.request.request_id, forward.attempt, response_position, text)
        if attempt.sender == self.node.settings.name:
            self.node.requests.handle_chunk(attempt.sender, chunk, now, out)
        else:
            out.emit(SendPeer(attempt.sender, chunk))

    def end_attempt(self, attempt, now, out, failure=None, status=200):
        """Send the end of an attempt that was accepted."""
        chunks = attempt.forward.position + attempt.chunks
        wait_s = attempt.load_wait_s
        self.send_end(attempt.sender, attempt.forward, now, out, failure, chunks, status, wait_s)

    def send_end(
        self, sender, forward, now, out, failure=None, chunks=0, status=200, load_wait_s=0.0
    ):
        """Send the `AttemptEnd` of a `Forward`, which may have been refused."""
        end = AttemptEnd(
            forward.request.request_id,
            forward.attempt,
            chunks,
            forward.model,
            forward.server,
            status,
            failure,
            load_wait_s,
        )
        if sender == self.node.settings.name:
            self.node.requests.handle_end(sender, end, now, out)
        else:
            out.emit(SendPeer(sender, end))
