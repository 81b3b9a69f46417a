"""Caller and platform side of ``bin/demo``: publishes the VM list, sends and checks requests."""

import asyncio
import sys
from typing import Annotated

import cappa
import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.engine_text import answer_tokens
from medlarbeam.standins.http import parse_address
from medlarbeam.standins.vm_list import describe_backend, describe_entry

__all__ = ["DemoClient", "Endpoint", "main", "parse_endpoint"]

_READY_ATTEMPTS = 150
_READY_PAUSE_S = 0.2  # 150 tries wait 30 s, above the join time of a cell
_REQUEST_TIMEOUT_S = 40.0
_ANSWER_LENGTH = 12  # default of the engine stand-in
_CALLER = "demo-caller"
_SERVICE = "ledger"

_MODELS = ("assistant-ms@1", "assistant-ta@1", "notice-en@2", "notice-ms@1", "eulogy-mi@3")
_ALTERNATIVES = ["assistant-ms@1", "assistant-ta@1"]
_UNKNOWN_MODEL = "assistant-ms@99"


class Endpoint(Record):
    """A process of the demonstration: an engine, a plain service or a node."""

    __slots__ = ("address", "failure_domain", "name")

    def __init__(self, name, address, failure_domain):
        self.name = name
        self.address = address
        self.failure_domain = failure_domain


def parse_endpoint(text):
    """Return the `Place` of ``name=ip:port=failure domain``; raise `FormatError` otherwise."""
    parts = text.split("=")
    if len(parts) != 3 or not all(parts):
        raise FormatError(f"{text!r} is not name=ip:port=failure-domain")
    parse_address(parts[1])
    return Endpoint(*parts)


class DemoClient:
    """Sends the requests of the demonstration and collects what was wrong.

    Parameters
    ----------
    session : aiohttp.ClientSession
    nodes, engines, services : list of Place
    """

    __slots__ = ("engines", "failures", "nodes", "services", "session")

    def __init__(self, session, nodes, engines, services):
        self.session = session
        self.nodes = nodes
        self.engines = engines
        self.services = services
        self.failures = []

    def check(self, condition, message):
        """Note `fault` unless `holds`."""
        if not condition:
            self.failures.append(message)
            print(f"     WRONG: {message}")

    async def publish(self, vm_list, slots, fencing):
        """Replace the VM list at the address `vm_list` by all places."""
        vms = [
            describe_entry(p.name, p.address, p.failure_domain, p.failure_domain)
            for p in self.nodes
        ]
        for endpoint in self.engines:
            domain = endpoint.failure_domain
            vms.append(
                describe_backend(
                    endpoint.name, endpoint.address, domain, domain, slots=slots, fencing=fencing
                )
            )
        for endpoint in self.services:
            domain = endpoint.failure_domain
            vms.append(
                describe_backend(
                    endpoint.name, endpoint.address, domain, domain, service=_SERVICE, slots=0
                )
            )
        body = orjson.dumps({"vms": vms})
        async with self.session.post(f"http://{vm_list}/debug/vms", data=body) as answer:
            self.check(answer.status == 200, f"VM list answered {answer.status}")

    async def wait_ready(self, revision):
        """Wait until each node is ready with the catalogue at `revision` or later."""
        for node in self.nodes:
            for _ in range(_READY_ATTEMPTS):
                if await self._is_ready(node, revision):
                    break
                await asyncio.sleep(_READY_PAUSE_S)
            else:
                self.check(False, f"{node.name} is not ready at catalogue revision {revision}")

    async def _is_ready(self, node, revision):
        try:
            async with self.session.get(f"http://{node.address}/readyz") as answer:
                document = await answer.json()
                return answer.status == 200 and document["catalog_revision"] >= revision
        except (ClientError, TimeoutError):
            return False

    async def send_requests(self):
        """Send every request of the demonstration."""
        for number, node in enumerate(self.nodes):
            for index, model in enumerate(_MODELS):
                stream = (number + index) % 2 == 1
                await self.complete(node, [model], f"Question {index} to {node.name}", stream)
        await self.complete(self.nodes[0], _ALTERNATIVES, "Whichever is loaded", False)
        await self.check_unknown_adapter(self.nodes[-1])
        await self.check_replay(self.nodes[0], self.nodes[-1], self.services[0])
        await self.check_journals()

    async def complete(self, node, models, prompt, stream):
        """Send a completion through `node` and check the answer."""
        choice = {"model": models[0]} if len(models) == 1 else {"models": models}
        document = {**choice, "prompt": prompt, "max_tokens": 200, "stream": stream}
        kind = "stream" if stream else "whole answer"
        print(f"{node.name} asked: {' or '.join(models)}, {prompt!r}, {kind}")
        url = f"http://{node.address}/v1/completions"
        async with self.session.post(url, data=orjson.dumps(document)) as answer:
            body = await answer.read()
        if answer.status != 200:
            self.check(False, f"HTTP {answer.status}: {body.decode(errors='replace')}")
            return
        if stream:
            text, reported_models = _read_stream(body)
        else:
            document_body = orjson.loads(body)
            text, reported_models = document_body["choices"][0]["text"], {document_body["model"]}
        self._check_answer(answer.headers, models, prompt, text, reported_models)

    def _check_answer(self, headers, models, prompt, text, reported_models):
        model, server = headers.get("X-Model", ""), headers.get("X-Backend-Server", "")
        endpoint = next((p for p in self.engines if p.name == server), None)
        adapter, _, version = model.rpartition("@")
        domain = endpoint.failure_domain if endpoint is not None else "unknown"
        print(f"     answered by: adapter {adapter}, version {version}, {server} in {domain}")
        print(f"     answer: {text}")
        self.check(model in models, f"answered by {model!r}")
        self.check(reported_models == {model}, f"the answer names {sorted(reported_models)}")
        self.check(endpoint is not None, f"answered by an unknown backend server {server!r}")
        expected = "".join(answer_tokens(model, prompt, _ANSWER_LENGTH))
        self.check(text == expected, f"expected {expected!r}")

    async def check_unknown_adapter(self, node):
        """Check that a version that is not in the catalogue is refused, and did not run."""
        print(f"{node.name} asked: {_UNKNOWN_MODEL}, which no release note names")
        document = {"model": _UNKNOWN_MODEL, "prompt": "x"}
        url = f"http://{node.address}/v1/completions"
        async with self.session.post(url, data=orjson.dumps(document)) as answer:
            body = await answer.read()
        print(f"     refused: HTTP {answer.status} {body.decode(errors='replace')}")
        self.check(answer.status == 404, f"HTTP {answer.status}")
        error = orjson.loads(body).get("error", {})
        outcome = (error.get("kind"), error.get("run_state"))
        self.check(outcome == ("unknown_adapter", "not_run"), f"the error is {error}")

    async def check_replay(self, first, second, service):
        """Send one charge through two nodes with the same key; it has to take effect once."""
        bodies = []
        for node, replayed in ((first, "false"), (second, "true")):
            print(f"{node.name} asked: charge 4500 cents, non-idempotent, key demo-key-1")
            headers = {
                "X-Caller": _CALLER,
                "X-Non-Idempotent": "true",
                "Idempotency-Key": "demo-key-1",
            }
            charge = {"account": "family-7", "amount_cents": 4500, "reference": "wreath"}
            url = f"http://{node.address}/v1/services/{_SERVICE}/charge"
            async with self.session.post(url, data=orjson.dumps(charge), headers=headers) as answer:
                body = await answer.read()
            server, replayed_header = answer.headers.get("X-Backend-Server"), answer.headers.get(
                "X-Replayed"
            )
            print(
                f"     answered by: {server} in {service.failure_domain}, replayed: {replayed_header}"
            )
            print(f"     answer: {body.decode(errors='replace')}")
            self.check(answer.status == 200, f"HTTP {answer.status}")
            self.check(server == service.name, f"answered by {server!r}")
            self.check(
                replayed_header == replayed, f"replayed is {replayed_header}, expected {replayed}"
            )
            bodies.append(body)
        self.check(bodies[0] == bodies[1], "the two answers differ")
        async with self.session.get(f"http://{service.address}/debug/journal") as answer:
            count = (await answer.json())["count"]
        print(f"{service.name} charged {count} time(s)")
        self.check(count == 1, f"{count} charges took effect")

    async def check_journals(self):
        """Check that no engine saw an adapter unloaded under a run."""
        for engine in self.engines:
            async with self.session.get(f"http://{engine.address}/debug/journal") as answer:
                journal = await answer.json()
            kinds = [entry["kind"] for entry in journal["entries"]]
            counts = ", ".join(f"{kinds.count(k)} {k}" for k in ("load", "unload", "run_start"))
            print(f"{engine.name} in {engine.failure_domain}: {counts}")
            self.check(journal["violations"] == 0, f"{journal['violations']} violations")


def _read_stream(body):
    """Return the text and the set of model names of a stream of events."""
    lines = body.decode().splitlines()
    data = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    if not data or data[-1] != "[DONE]":
        return "", {"a stream without [DONE]"}
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
        print(f"demonstration: {message}", file=sys.stderr)
    return 1 if client.failures else 0


def main(
    action: Annotated[str, cappa.Arg(choices=["publish", "wait", "converse"])],
    node: Annotated[list[str], cappa.Arg(long=True, help="name=ip:port=domain, repeatable")],
    engine: Annotated[list[str], cappa.Arg(long=True, help="name=ip:port=domain, repeatable")],
    service: Annotated[list[str], cappa.Arg(long=True, help="name=ip:port=domain, repeatable")],
    vm_list: Annotated[str, cappa.Arg(long=True, help="ip:port, for publish")] = "",
    slots: Annotated[int, cappa.Arg(long=True, help="of each engine, for publish")] = 4,
    fencing: Annotated[
        str, cappa.Arg(long=True, choices=["yes", "no"], help="of each engine, for publish")
    ] = "no",
    revision: Annotated[int, cappa.Arg(long=True, help="catalogue revision to wait for")] = 0,
):
    """Publish the VM list, wait for the nodes, or send the requests of the demonstration."""
    endpoints = [[parse_endpoint(text) for text in texts] for texts in (node, engine, service)]
    sys.exit(asyncio.run(_run(action, endpoints, vm_list, slots, fencing, revision)))


if __name__ == "__main__":
    cappa.invoke(main)
