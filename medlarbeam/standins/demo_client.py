"""Client of ``bin/demo``: publishes the VM list, sends requests and checks the responses."""

import asyncio
import sys
from typing import Annotated

import cappa
import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.engine_text import completion_tokens
from medlarbeam.standins.http import parse_address
from medlarbeam.standins.vm_list import describe_backend_vm, describe_entry_vm

__all__ = ["DemoClient", "Endpoint", "main", "parse_endpoint"]

_READY_ATTEMPTS = 150
_READY_PAUSE_S = 0.2  # 150 attempts wait 30 s, longer than a cell takes to form
_REQUEST_TIMEOUT_S = 40.0
_COMPLETION_LENGTH = 12  # tokens; default of the engine stand-in
_CALLER = "demo-caller"
_SERVICE = "ledger"

_MODELS = ("assistant-ms@1", "assistant-ta@1", "notice-en@2", "notice-ms@1", "eulogy-mi@3")
_ALTERNATIVES = ["assistant-ms@1", "assistant-ta@1"]
_UNKNOWN_MODEL = "assistant-ms@99"


class Endpoint(Record):
    """Address of an engine, plain service or node of the demonstration."""

    __slots__ = ("address", "failure_domain", "name")

    def __init__(self, name, address, failure_domain):
        self.name = name
        self.address = address
        self.failure_domain = failure_domain


def parse_endpoint(text):
    """Parse ``name=ip:port=failure-domain`` into an `Endpoint`; raise `FormatError` otherwise."""
    parts = text.split("=")
    if len(parts) != 3 or not all(parts):
        raise FormatError(f"endpoint {text!r} is not name=ip:port=failure-domain")
    parse_address(parts[1])
    return Endpoint(*parts)


class DemoClient:
    """Sends the requests of the demonstration and collects the failed checks.

    Parameters
    ----------
    session : aiohttp.ClientSession
    nodes, engines, services : list of Endpoint
    """

    __slots__ = ("engines", "failures", "nodes", "services", "session")

    def __init__(self, session, nodes, engines, services):
        self.session = session
        self.nodes = nodes
        self.engines = engines
        self.services = services
        self.failures = []

    def check(self, condition, message):
        """Record the failure `message` unless `condition` is true."""
        if not condition:
            self.failures.append(message)
            print(f"     FAILED: {message}")

    async def publish(self, vm_list, slots, fencing):
        """Replace the VM list at the address `vm_list` by all endpoints."""
        vms = [
            describe_entry_vm(node.name, node.address, node.failure_domain, node.failure_domain)
            for node in self.nodes
        ]
        for endpoint in self.engines:
            domain = endpoint.failure_domain
            vms.append(
                describe_backend_vm(
                    endpoint.name, endpoint.address, domain, domain, slots=slots, fencing=fencing
                )
            )
        for endpoint in self.services:
            domain = endpoint.failure_domain
            vms.append(
                describe_backend_vm(
                    endpoint.name, endpoint.address, domain, domain, service=_SERVICE, slots=0
                )
            )
        body = orjson.dumps({"vms": vms})
        async with self.session.post(f"http://{vm_list}/debug/vms", data=body) as response:
            self.check(response.status == 200, f"the VM list returned HTTP {response.status}")

    async def wait_ready(self, revision):
        """Wait until each node is ready with the catalog at `revision` or later."""
        for node in self.nodes:
            for _ in range(_READY_ATTEMPTS):
                if await self._is_ready(node, revision):
                    break
                await asyncio.sleep(_READY_PAUSE_S)
            else:
                self.check(False, f"{node.name} is not ready at catalog revision {revision}")

    async def _is_ready(self, node, revision):
        try:
            async with self.session.get(f"http://{node.address}/readyz") as response:
                document = await response.json()
                return response.status == 200 and document["catalog_revision"] >= revision
        except (ClientError, TimeoutError):
            return False

    async def send_requests(self):
        """Send all requests of the demonstration and check the journals of the engines."""
        for number, node in enumerate(self.nodes):
            for index, model in enumerate(_MODELS):
                stream = (number + index) % 2 == 1
                await self.complete(node, [model], f"Question {index} to {node.name}", stream)
        await self.complete(self.nodes[0], _ALTERNATIVES, "Whichever is loaded", False)
        await self.check_unknown_adapter(self.nodes[-1])
        await self.check_replay(self.nodes[0], self.nodes[-1], self.services[0])
        await self.check_journals()

    async def complete(self, node, models, prompt, stream):
        """Send a completion request through `node` and check the response."""
        choice = {"model": models[0]} if len(models) == 1 else {"models": models}
        document = {**choice, "prompt": prompt, "max_tokens": 200, "stream": stream}
        kind = "streamed" if stream else "not streamed"
        print(f"request to {node.name}: {' or '.join(models)}, {prompt!r}, {kind}")
        url = f"http://{node.address}/v1/completions"
        async with self.session.post(url, data=orjson.dumps(document)) as response:
            body = await response.read()
        if response.status != 200:
            self.check(False, f"HTTP {response.status}: {body.decode(errors='replace')}")
            return
        if stream:
            text, reported_models = _read_stream(body)
        else:
            completion = orjson.loads(body)
            text, reported_models = completion["choices"][0]["text"], {completion["model"]}
        self._check_response(response.headers, models, prompt, text, reported_models)

    def _check_response(self, headers, models, prompt, text, reported_models):
        model, server = headers.get("X-Model", ""), headers.get("X-Backend-Server", "")
        endpoint = next((engine for engine in self.engines if engine.name == server), None)
        adapter, _, version = model.rpartition("@")
        domain = endpoint.failure_domain if endpoint is not None else "unknown"
        print(f"     served by: adapter {adapter}, version {version}, {server} in {domain}")
        print(f"     completion: {text}")
        self.check(model in models, f"served by model {model!r}")
        self.check(reported_models == {model}, f"the response names {sorted(reported_models)}")
        self.check(endpoint is not None, f"served by an unknown backend server {server!r}")
        expected = "".join(completion_tokens(model, prompt, _COMPLETION_LENGTH))
        self.check(text == expected, f"the completion differs from {expected!r}")

    async def check_unknown_adapter(self, node):
        """Check that a version missing from the catalog is rejected without being run."""
        print(f"request to {node.name}: {_UNKNOWN_MODEL}, which is in no release note")
        document = {"model": _UNKNOWN_MODEL, "prompt": "x"}
        url = f"http://{node.address}/v1/completions"
        async with self.session.post(url, data=orjson.dumps(document)) as response:
            body = await response.read()
        print(f"     rejected: HTTP {response.status} {body.decode(errors='replace')}")
        self.check(response.status == 404, f"HTTP {response.status}, expected 404")
        error = orjson.loads(body).get("error", {})
        outcome = (error.get("kind"), error.get("run_state"))
        self.check(outcome == ("unknown_adapter", "not_run"), f"unexpected error {error}")

    async def check_replay(self, first, second, service):
        """Check that a charge sent through two nodes with one key takes effect only once."""
        bodies = []
        for node, replayed in ((first, "false"), (second, "true")):
            print(f"request to {node.name}: charge 4500 cents, non-idempotent, key demo-key-1")
            headers = {
                "X-Caller": _CALLER,
                "X-Non-Idempotent": "true",
                "Idempotency-Key": "demo-key-1",
            }
            charge = {"account": "family-7", "amount_cents": 4500, "reference": "wreath"}
            url = f"http://{node.address}/v1/services/{_SERVICE}/charge"
            async with self.session.post(url, data=orjson.dumps(charge), headers=headers) as result:
                body = await result.read()
            server, flag = result.headers.get("X-Backend-Server"), result.headers.get("X-Replayed")
            print(f"     served by: {server} in {service.failure_domain}, replayed: {flag}")
            print(f"     response: {body.decode(errors='replace')}")
            self.check(result.status == 200, f"HTTP {result.status}, expected 200")
            self.check(server == service.name, f"served by {server!r}")
            self.check(flag == replayed, f"replayed is {flag}, expected {replayed}")
            bodies.append(body)
        self.check(bodies[0] == bodies[1], "the two responses differ")
        async with self.session.get(f"http://{service.address}/debug/journal") as result:
            count = (await result.json())["count"]
        print(f"{service.name} recorded {count} charge(s)")
        self.check(count == 1, f"{count} charges took effect, expected 1")

    async def check_journals(self):
        """Check that no engine recorded the unload of an adapter with open runs."""
        for engine in self.engines:
            async with self.session.get(f"http://{engine.address}/debug/journal") as response:
                journal = await response.json()
            kinds = [entry["kind"] for entry in journal["entries"]]
            counts = ", ".join(f"{kinds.count(k)} {k}" for k in ("load", "unload", "run_start"))
            print(f"{engine.name} in {engine.failure_domain}: {counts}")
            self.check(journal["violations"] == 0, f"{journal['violations']} violations")


def _read_stream(body):
    """Return the text and the set of model names of a server-sent event stream."""
    lines = body.decode().splitlines()
    data = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    if not data or data[-1] != "[DONE]":
        return "", {"stream without [DONE]"}
    events = [orjson.loads(item) for item in data[:-1]]
    text = "".join(event["choices"][0]["text"] for event in events)
    return text, {event["model"] for event in events}


async def _run_action(action, client, vm_list, slots, fencing, revision):
    if action == "publish":
        await client.publish(vm_list, slots, fencing == "yes")
    elif action == "wait":
        await client.wait_ready(revision)
    else:
        await client.send_requests()


async def _run(action, endpoints, vm_list, slots, fencing, revision):
    timeout = ClientTimeout(total=_REQUEST_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as session:
        client = DemoClient(session, *endpoints)
        await _run_action(action, client, vm_list, slots, fencing, revision)
    for message in client.failures:
        print(f"demonstration failed: {message}", file=sys.stderr)
    return 1 if client.failures else 0


def main(
    action: Annotated[str, cappa.Arg(choices=["publish", "wait", "converse"])],
    node: Annotated[
        list[str], cappa.Arg(long=True, help="name=ip:port=failure-domain, repeatable")
    ],
    engine: Annotated[
        list[str], cappa.Arg(long=True, help="name=ip:port=failure-domain, repeatable")
    ],
    service: Annotated[
        list[str], cappa.Arg(long=True, help="name=ip:port=failure-domain, repeatable")
    ],
    vm_list: Annotated[str, cappa.Arg(long=True, help="ip:port of the VM list, for publish")] = "",
    slots: Annotated[int, cappa.Arg(long=True, help="adapter slots per engine, for publish")] = 4,
    fencing: Annotated[
        str,
        cappa.Arg(
            long=True,
            choices=["yes", "no"],
            help="whether engines check fencing tokens, for publish",
        ),
    ] = "no",
    revision: Annotated[int, cappa.Arg(long=True, help="catalog revision to wait for")] = 0,
):
    """Publish the VM list, wait until the nodes are ready, or send and check the requests."""
    endpoints = [[parse_endpoint(text) for text in texts] for texts in (node, engine, service)]
    sys.exit(asyncio.run(_run(action, endpoints, vm_list, slots, fencing, revision)))


if __name__ == "__main__":
    cappa.invoke(main)
