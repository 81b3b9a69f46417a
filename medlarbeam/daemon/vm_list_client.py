"""HTTP client for the VM list of the platform."""

import logging

from aiohttp import ClientTimeout

from medlarbeam.classes.effects import ReadVmList
from medlarbeam.classes.messages import VmList
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.http_client import (
    CALL_ERRORS,
    SendGuard,
    apply_send_guard,
    describe_error,
    open_session,
)
from medlarbeam.daemon.setting_types import format_address
from medlarbeam.exceptions import FormatError

__all__ = ["VmListClient"]

log = logging.getLogger(__name__)


class VmListClient(EffectHandlerService):
    """Carries out the `ReadVmList` effect.

    Parameters
    ----------
    driver : NodeDriver
    settings : DaemonSettings
    parse : callable
        Returns the list of `VmEntry` of a document (bytes); raises FormatError.
    """

    def __init__(self, driver, settings, parse):
        super().__init__(driver)
        self.url = f"http://{format_address(settings.vm_list_address)}/vms"
        self.timeout = ClientTimeout(
            total=settings.poll_timeout_s, connect=settings.connect_timeout_s
        )
        self.parse = parse
        self.session = None

    async def on_start(self):
        """Open the client session."""
        self.session = await self.add_async_context(open_session(self.timeout))

    def effects(self):
        """Return the handler of `ReadVmList`."""
        return {ReadVmList: lambda effect: self.spawn(self._read(effect))}

    async def _read(self, effect):
        try:
            with apply_send_guard(SendGuard(allow_resend=True)):
                async with self.session.get(self.url, allow_redirects=False) as response:
                    data = await response.read()
            if response.status != 200:
                raise FormatError(f"VM list: responded with HTTP {response.status}")
            vms = self.parse(data)
        except CALL_ERRORS as error:
            reason = describe_error(error)
            log.warning(
                "VM list is not readable: %s", reason, extra={"event": "vm_list_unreadable"}
            )
            return
        self.driver.deliver(VmList(effect.requested_at, vms))
