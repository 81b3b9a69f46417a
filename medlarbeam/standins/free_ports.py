"""Addresses with free ports, for processes that have to know each other's port in advance."""

import socket
from random import SystemRandom
from typing import Annotated

import cappa

__all__ = ["find_free_addresses", "main"]

# Below the range from which Linux takes the ports of outgoing connections (32768 and up): a port of
# that range was taken by such a connection between the search and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
MAX_CANDIDATES = 1_000  # ports that are tried


def find_free_addresses(count):
    """Return a list of `count` different ``127.0.0.1:port`` texts.

    Raises
    ------
    OSError
        If too few ports are free.

    Notes
    -----
    The ports are free when the function returns; another process may take one before it is used.
    """
    ports = SystemRandom().sample(range(FIRST_PORT, LAST_PORT), MAX_CANDIDATES)
    sockets = []
    try:
        for port in ports:
            if len(sockets) == count:
                break
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:  # in use
                sock.close()
            else:
                sockets.append(sock)
        if len(sockets) < count:
            raise OSError(f"fewer than {count} of {MAX_CANDIDATES} ports are free")
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def main(count: Annotated[int, cappa.Arg(help="number of addresses")] = 1):
    """Print free addresses, one a line."""
    print("\n".join(find_free_addresses(count)))


if __name__ == "__main__":
    cappa.invoke(main)
