"""Search for free ports, for processes that must know each other's address in advance."""

import socket
from random import SystemRandom
from typing import Annotated

import cappa

__all__ = ["find_free_addresses", "main"]

# Below Linux's ephemeral port range (32768 and up), because an outgoing connection has taken a port
# of that range between the search and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
MAX_CANDIDATES = 1_000  # ports tried before the search fails


def find_free_addresses(count):
    """Return a list of `count` distinct ``127.0.0.1:port`` addresses with free ports.

    Raises
    ------
    OSError
        If fewer than `count` of the tried ports are free.

    Notes
    -----
    The ports are free when the function returns, but another process may bind one before its use.
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
            raise OSError(f"fewer than {count} of the {MAX_CANDIDATES} ports tried are free")
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def main(count: Annotated[int, cappa.Arg(help="number of addresses")] = 1):
    """Print addresses with free ports, one per line."""
    print("\n".join(find_free_addresses(count)))


if __name__ == "__main__":
    cappa.invoke(main)
