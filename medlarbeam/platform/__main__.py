"""The gateway daemon of the users' platform: ``python3 -m medlarbeam.platform``."""

import os

# aiohttp creates TLS contexts when it is imported. With the certificates of the system that took
# 0.1 s of the 0.6 s of processor time of a start, and a gateway opens no TLS connection.
os.environ["SSL_CERT_FILE"] = os.devnull

from medlarbeam.platform.gateway_daemon import main

if __name__ == "__main__":
    main()
