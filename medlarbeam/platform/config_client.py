"""Client that asks other nodes for the configuration that they apply."""

import asyncio

from aiohttp import ClientTimeout

from medlarbeam.classes.gateway_effects import FetchConfig
from medlarbeam.classes.gateway_messages import ConfigFetched
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.http_client import (
    SendGuard,
    apply_send_guard,
    describe_error,
    open_session,
    read_body,
)
from medlarbeam.exceptions import FormatError
from medlarbeam.platform.documents import DOCUMENT_ERRORS, decode_config, decode_object
from medlarbeam.platform.server_responses import check_status

__all__ = ["CONFIG_PATH", "ConfigClient"]

# At the address for forwarded requests, which have a header that a request for this path lacks. A
# node of an earlier build responds with 404.
CONFIG_PATH = "/medlarbeam/config"
TIMEOUT_S = 0.5
MAX_CONFIG_BYTES = 4 << 20  # the store takes values of 1 MB; digests are longer than short keys


class ConfigClient(EffectHandlerService):
    """Carries out `FetchConfig`.

    Parameters
    ----------
    driver : NodeDriver
    """

    def __init__(self, driver):
        super().__init__(driver)
        self.session = None

    async def on_start(self):
        """Open a session whose connections are used once."""
        self.session = await self.add_async_context(
            open_session(ClientTimeout(total=TIMEOUT_S), keep_alive=False)
        )

    def effects(self):
        """Return the handler of `FetchConfig`."""
        return {FetchConfig: lambda effect: self.spawn(self._fetch(effect.node))}

    async def _fetch(self, node):
        try:
            config, reason = await self._read_config(node), ""
        except asyncio.CancelledError:
            raise
        except Exception as error:  # every request must result in exactly one message
            config, reason = None, describe_error(error)
        self.driver.deliver(ConfigFetched(node.name, config, reason))

    async def _read_config(self, node):
        with apply_send_guard(SendGuard(allow_resend=True)):
            async with self.session.get(
                f"http://{node.address}{CONFIG_PATH}", allow_redirects=False
            ) as response:
                check_status(response)
                text = await read_body(response, MAX_CONFIG_BYTES)
        try:
            return decode_config("", decode_object(text), 0)
        except DOCUMENT_ERRORS as error:
            raise FormatError(f"{type(error).__name__} in the configuration") from error
