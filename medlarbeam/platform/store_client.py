"""Client of the platform's metadata store: one watch, one lease and conditional writes."""

import asyncio
import logging
from base64 import b64encode

from aiohttp import ClientTimeout
from orjson import dumps

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import (
    AcquireRight,
    PublishQuarantine,
    PublishSoftwareVersion,
    PublishStreams,
    RecordSettledEra,
    ReleaseRights,
    RenewLease,
    SyncStore,
    WithdrawQuarantine,
    WithdrawSoftwareVersion,
)
from medlarbeam.classes.gateway_messages import (
    AcquireRightResult,
    EntryDeleted,
    EntryUpdated,
    LeaseExpired,
    LeaseRenewed,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.http_client import (
    SendGuard,
    apply_send_guard,
    describe_error,
    read_body,
)
from medlarbeam.daemon.renewable_session import RenewableSession
from medlarbeam.exceptions import FormatError
from medlarbeam.gateway.order_rights import LEASE_TTL_S
from medlarbeam.platform.documents import (
    ERA_KEY,
    NODE_PREFIX,
    QUARANTINE_PREFIX,
    RIGHT_PREFIX,
    SERVER_PREFIX,
    STREAMS_PREFIX,
    decode_entry,
    decode_object,
    encode_node,
    encode_quarantine,
    encode_right,
    encode_settled_era,
    encode_software_version,
    encode_stream_report,
    read_field,
    software_version_key,
)

__all__ = ["StoreClient"]

log = logging.getLogger(__name__)

# A connection may fail silently, without a reset. The watch is therefore reissued after this time,
# so that a change is seen within the time limit for applying configurations.
WATCH_TIMEOUT_S = 1.5
CALL_TIMEOUT_S = 1.0  # responses take a few ms, up to 60 times longer if the store is slow
CONNECT_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.25  # after the first failure; doubles up to MAX_BACKOFF_S
MAX_BACKOFF_S = 1.0
RELEASE_TIMEOUT_S = 0.5  # limits how long a slow store can delay the shutdown

MAX_RESPONSE_BYTES = 32 << 20  # a page of entries has some MB at most

STORE_ERA = "Store-Era"  # header of all responses; rises when the store is set back to a copy
MAX_ERA_DIGITS = 6


class StoreError(Exception):
    """A store call failed; `status` is the HTTP status, 0 if there was no response."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class StoreSetBackError(StoreError):
    """The response shows that the store was set back since the last one."""


class SilentConnectionError(StoreError):
    """There was no response, and a repeated call uses another connection."""


class StoreClient(EffectHandlerService):
    """Replicates the store's entries to the gateway and carries out effects on the store.

    Parameters
    ----------
    driver : NodeDriver
    settings : PlatformSettings
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.settings = settings
        self.base_url = f"http://{settings.store_address}"
        self.session = None
        self.era = None  # unknown before the first response
        self.known_revision = 0  # revision from which to watch, 0 to read all entries
        self.watch_timeout = None  # of the pending watch call
        self.lease = 0
        self.streams_lease = 0
        self.is_publishing_streams = False
        self.is_registered = False
        self.registration_revision = 0
        self.is_renewing = False
        self.is_syncing = False
        self.release_task = None

    async def on_start(self):
        """Open the session and start watching the store."""
        timeout = ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        longest_call_s = WATCH_TIMEOUT_S + CALL_TIMEOUT_S
        self.session = RenewableSession(timeout, longest_call_s, self.spawn)
        self.spawn(self._replicate())

    async def on_stop(self):
        """Wait for the release of rights before closing the session."""
        if self.release_task is not None:
            await asyncio.wait([self.release_task], timeout=RELEASE_TIMEOUT_S)
        await super().on_stop()
        await self.session.close()

    def _end_watch(self):
        """Let the pending watch call time out now, so that it is issued again."""
        if self.watch_timeout is not None and not self.watch_timeout.expired():
            self.watch_timeout.reschedule(asyncio.get_running_loop().time())

    def effects(self):
        """Return the handlers of effects that concern the store."""
        return {
            RenewLease: lambda effect: self.spawn(self._renew_lease(effect)),
            AcquireRight: lambda effect: self.spawn(self._acquire_right(effect)),
            RecordSettledEra: lambda effect: self.spawn(self._record_settled_era(effect)),
            ReleaseRights: self._start_release,
            PublishQuarantine: lambda effect: self.spawn(self._publish_quarantine(effect)),
            WithdrawQuarantine: lambda effect: self.spawn(self._withdraw_quarantine(effect)),
            PublishSoftwareVersion: lambda effect: self.spawn(self._publish_version(effect)),
            WithdrawSoftwareVersion: lambda effect: self.spawn(self._withdraw_version(effect)),
            PublishStreams: lambda effect: self.spawn(self._publish_streams(effect)),
            SyncStore: lambda effect: self.spawn(self._sync()),
        }

    async def _call(self, method, path, params=None, body=None, watch_s=0.0):
        """Call the store and return the decoded response.

        A call that waits up to `watch_s` for changes ends when another one shows a set-back.

        Raises
        ------
        StoreError
            If there is no response, its status is not 200, or it is from an earlier era.
        StoreSetBackError
            If the store was set back before the response.
        SilentConnectionError
            If there is no response, and a repeated call uses another connection.
        FormatError
            If the response is not a JSON object, or the era is malformed.
        """
        data = dumps(body) if body is not None else None
        headers = {"Content-Type": "application/json"} if body is not None else {}
        era = self.era
        session = self.session.current
        guard = SendGuard(allow_resend=method == "GET")
        timeout = asyncio.timeout(watch_s + CALL_TIMEOUT_S)
        if watch_s:
            self.watch_timeout = timeout
        try:
            with apply_send_guard(guard):
                async with timeout:
                    async with session.request(
                        method, self.base_url + path, params=params, data=data, headers=headers
                    ) as response:
                        text = await read_body(response, MAX_RESPONSE_BYTES)
        except Exception as error:
            is_silent = isinstance(error, TimeoutError) and guard.sent and era == self.era
            is_current = session is self.session.current
            if is_silent and self.session.give_up(session, path):
                if is_current:
                    self._end_watch()  # it may be waiting on a silent connection
                raise SilentConnectionError(0, f"{path}: no response") from error
            raise StoreError(0, describe_error(error)) from error
        finally:
            if watch_s:
                self.watch_timeout = None
        self.session.record_response(session)
        self._check_era(response.headers)
        if era is not None and era != self.era:
            raise StoreSetBackError(0, "the store was set back during the call")
        if response.status != 200:
            raise StoreError(response.status, f"{path}: HTTP {response.status}")
        return decode_object(text) if text else {}

    def _check_era(self, headers):
        """Raise an error if a response is not from the known era; start over in a newer one."""
        text = headers.get(STORE_ERA, "")
        if not text:
            return
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            raise FormatError("the era of the store is not a short decimal number")
        era = int(text)
        if self.era is None:
            self.era = era
        if era < self.era:
            raise StoreError(0, f"late response of era {era}, the store is in era {self.era}")
        if era > self.era:
            self.era = era
            # The store may have lost the lease, or grant its number to another node.
            self.is_registered = False
            self.lease = 0
            self.streams_lease = 0
            self.known_revision = 0
            self.driver.deliver(StoreSetBack(era))
            self._end_watch()
            raise StoreSetBackError(0, f"the store was set back, era {era}")

    # Watching the store

    async def _replicate(self):
        backoff_s = MIN_BACKOFF_S
        while True:
            is_watching = self.known_revision > 0
            sent_at = self.driver.read_clock()
            try:
                if not is_watching:
                    # The node registers before it reads, so that it knows its rights from the
                    # first snapshot on.
                    await self._renew_lease(RenewLease(LEASE_TTL_S))
                    sent_at = self.driver.read_clock()
                    await self._read_all()
                else:
                    await self._watch()
                self.driver.deliver(StoreSynced(sent_at))
                await asyncio.sleep(self.settings.watch_pause_s)
                backoff_s = MIN_BACKOFF_S
            except StoreSetBackError:
                continue
            except Exception as error:  # the replication must not end while the process runs
                if not isinstance(error, (StoreError, FormatError)):
                    log.exception("replication failed", extra={"event": "replication_failed"})
                if getattr(error, "status", 410) == 410:
                    # The store has no history since this revision, or its events are malformed.
                    self.known_revision = 0
                if is_watching and not self.known_revision:
                    continue
                self.driver.deliver(StoreUnavailable(str(error)))
                if isinstance(error, SilentConnectionError):
                    continue
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _read_all(self):
        revision = 0
        era = self.era
        entries = []
        params = {"pathPrefix": ""}
        while True:
            page = await self._call("GET", "/kv-range", params)
            era = self.era if era is None else era
            revision = revision or read_field(page, "storeRevision", int)
            items = read_field(page, "items", list, [])
            entries += filter(None, [self._decode_item(item) for item in items])
            if not page.get("truncated") or not items:
                break
            last_key = read_field(items[-1], "key", str)
            if last_key <= params.get("after", ""):
                raise FormatError(f"a page of entries ends at {last_key!r} like the one before")
            params["after"] = last_key
        if era is not None and era != self.era:
            raise StoreSetBackError(0, "the store was set back between two pages")
        current = [entry for entry in entries if isinstance(entry, EntryUpdated)]
        self.driver.deliver(StoreSnapshot(current, revision, self.era or 0))
        self.known_revision = revision

    async def _watch(self, wait_s=WATCH_TIMEOUT_S):
        params = {"pathPrefix": "", "after": str(self.known_revision)}
        params["waitMs"] = str(int(wait_s * 1000))
        response = await self._call("GET", "/kv-watch", params, watch_s=wait_s)
        revision = read_field(response, "storeRevision", int)
        for item in read_field(response, "events", list, []):
            # A call that was sent at the same time may have brought the event already.
            if read_field(item, "revision", int) > self.known_revision:
                message = self._decode_item(item)
                if message is not None:
                    self.driver.deliver(message)
        self.known_revision = max(self.known_revision, revision)

    async def _sync(self):
        """Read the changes of the store beside the watch, which may pause or wait for others."""
        if self.is_syncing or not self.known_revision:
            return
        self.is_syncing = True
        sent_at = self.driver.read_clock()
        message = None
        try:
            await self._watch(wait_s=0.0)
            message = StoreSynced(sent_at)
        except StoreSetBackError:
            pass  # the replication reads all entries again
        except (StoreError, FormatError) as error:
            message = StoreUnavailable(f"sync: {error}")
        finally:
            self.is_syncing = False
        if message is not None:
            self.driver.deliver(message)

    def _decode_item(self, item):
        """Convert a store item or watch event into a message, None for keys that are not used."""
        key = read_field(item, "key", str)
        revision = read_field(item, "revision", int)
        if item.get("deleted"):
            return EntryDeleted(key, revision)
        try:
            value = decode_entry(key, item["value"], revision)
        except (FormatError, KeyError, TypeError, ValueError) as error:
            log.warning("invalid entry %s: %s", key, error, extra={"event": "entry_unusable"})
            # A backend server with an invalid entry is not used; other keys keep their last value.
            return EntryDeleted(key, revision) if key.startswith(SERVER_PREFIX) else None
        return EntryUpdated(key, value, revision) if value is not None else None

    # Lease and rights

    async def _renew_lease(self, effect, may_repeat=True):
        if self.is_renewing or self.release_task is not None:
            return
        if effect.must_register:
            self.is_registered = False
            self.lease = 0
        self.is_renewing = True
        is_silent = False
        sent_at = self.driver.read_clock()
        try:
            if self.is_registered:
                await self._call("POST", f"/kv-keep/{self.lease}")
                self.driver.deliver(LeaseRenewed(sent_at, False, self.registration_revision))
            else:
                await self._register(effect.ttl_s)
                self.driver.deliver(LeaseRenewed(sent_at, True, self.registration_revision))
        except StoreSetBackError:
            pass  # logged by the fleet state; the node registers before it reads the store again
        except SilentConnectionError as error:
            is_silent = True
            self.driver.deliver(StoreUnavailable(f"lease: {error}"))
        except (StoreError, FormatError) as error:
            if getattr(error, "status", 0) == 404:
                self.is_registered = False
                self.lease = 0
                self.driver.deliver(LeaseExpired())
            else:
                self.driver.deliver(StoreUnavailable(f"lease: {error}"))
        finally:
            self.is_renewing = False
        if is_silent and may_repeat:  # before the lease ends
            await self._renew_lease(effect, may_repeat=False)

    async def _register(self, ttl_s):
        if not self.lease:
            response = await self._call("POST", "/kv-lease", body={"ttlMs": int(ttl_s * 1000)})
            if "lease" not in response:
                raise FormatError("the response to the request for a lease names none")
            self.lease = response["lease"]
        gateway = self.settings.gateway
        node = NodeRegistration(
            gateway.name, gateway.failure_domain, gateway.address, gateway.incarnation
        )
        response = await self._write([], NODE_PREFIX + gateway.name, encode_node(node), self.lease)
        self.registration_revision = read_field(response, "revision", int)
        self.is_registered = True

    async def _write(self, expected, key, data, lease=0):
        body = {
            "expected": expected,
            "puts": [{"key": key, "value": b64encode(data).decode(), "lease": lease}],
            "remove": [],
        }
        return await self._call("POST", "/kv-txn", body=body)

    async def _acquire_right(self, effect):
        gateway = self.settings.gateway
        key = RIGHT_PREFIX + effect.server
        # The write may be carried out late, when this node has lost its registration.
        expected = [
            {"key": key, "revision": effect.revision},
            {"key": NODE_PREFIX + gateway.name, "revision": effect.registration_revision},
        ]
        if effect.missing_node:
            expected.append({"key": NODE_PREFIX + effect.missing_node, "revision": 0})
        revision = 0
        try:
            data = encode_right(gateway.name, self.era or 0)
            revision = read_field(await self._write(expected, key, data), "revision", int)
        except (StoreError, FormatError, KeyError) as error:
            log.info("order right not acquired: %s", error, extra={"event": "right_refused"})
        self.driver.deliver(AcquireRightResult(effect.server, revision))

    async def _record_settled_era(self, effect):
        try:
            await self._write([], ERA_KEY, encode_settled_era(effect.era))
        except (StoreError, FormatError) as error:
            log.info("settled era not recorded: %s", error, extra={"event": "publish_failed"})

    def _start_release(self, effect):
        self.release_task = self.spawn(self._release_rights(effect))

    async def _release_rights(self, effect):
        name = self.settings.gateway.name
        try:
            for right in effect.rights:
                key = RIGHT_PREFIX + right.server
                # The write may be carried out late, when another process of this node has
                # registered and uses the right.
                expected = [
                    {"key": key, "revision": right.revision},
                    {"key": NODE_PREFIX + name, "revision": effect.registration_revision},
                ]
                await self._write(expected, key, encode_right("", self.era or 0))
            if self.lease:
                await self._call("DELETE", f"/kv-lease-end/{self.lease}")
        except (StoreError, FormatError) as error:
            log.warning("order rights not released: %s", error, extra={"event": "release_failed"})

    # Quarantines

    async def _publish_quarantine(self, effect):
        """Write a quarantine under a lease of its own, so that it outlives this process."""
        key = QUARANTINE_PREFIX + effect.fingerprint
        try:
            lease = await self._call("POST", "/kv-lease", body={"ttlMs": int(effect.ttl_s * 1000)})
            expected = [{"key": key, "revision": 0}]
            data = encode_quarantine(self.settings.gateway.name)
            await self._write(expected, key, data, lease["lease"])
        except (StoreError, FormatError, KeyError) as error:
            log.warning("quarantine not published: %s", error, extra={"event": "publish_failed"})

    async def _withdraw_quarantine(self, effect):
        body = {"expected": [], "puts": [], "remove": [QUARANTINE_PREFIX + effect.fingerprint]}
        try:
            await self._call("POST", "/kv-txn", body=body)
        except (StoreError, FormatError) as error:
            log.warning("quarantine not withdrawn: %s", error, extra={"event": "publish_failed"})

    # Software versions and streams

    async def _publish_version(self, effect):
        key = software_version_key(effect.version)
        try:
            data = encode_software_version(effect.version)
            await self._write([{"key": key, "revision": 0}], key, data)
        except (StoreError, FormatError) as error:
            log.info("software version not published: %s", error, extra={"event": "publish_failed"})

    async def _withdraw_version(self, effect):
        key = software_version_key(effect.version)
        expected = [{"key": key, "revision": effect.revision}]
        try:
            await self._call(
                "POST", "/kv-txn", body={"expected": expected, "puts": [], "remove": [key]}
            )
        except (StoreError, FormatError) as error:
            log.info("software version not withdrawn: %s", error, extra={"event": "publish_failed"})

    async def _publish_streams(self, effect):
        """Write a report under a lease of its own, so that it outlives this process."""
        if self.is_publishing_streams:
            return  # a call that takes long; the next publication has all streams again
        self.is_publishing_streams = True
        try:
            if not self.streams_lease:
                body = {"ttlMs": int(effect.ttl_s * 1000)}
                response = await self._call("POST", "/kv-lease", body=body)
                self.streams_lease = read_field(response, "lease", int)
            key = STREAMS_PREFIX + effect.report.node
            await self._write([], key, encode_stream_report(effect.report), self.streams_lease)
        except (StoreError, FormatError) as error:
            if getattr(error, "status", 0) == 404:
                self.streams_lease = 0
            log.info("streams not published: %s", error, extra={"event": "publish_failed"})
        finally:
            self.is_publishing_streams = False
