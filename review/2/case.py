"""A gateway answers nobody for seconds while a worker sends line feeds without end.

One gateway, three workers of a ledger and one model worker. Payments come at ten a second. Eight
clients ask for a stream, and the model worker answers each with a body of line feeds that doesn't
end before the caller closes. The model worker and these clients are processes of their own.
"""

import asyncio
import sys
import time
from pathlib import Path

from harness import TROUBLE, Deployment, Worker, build_route, find_free_addresses, request, run_case

STREAMS = 8
CALM_S = 3.0
WATCHED_S = 9.0
PAY_INTERVAL_S = 0.1
PAY_TIMEOUT_S = 1.2  # `timeoutMs` of the route
PAY_DEADLINE_S = 2.5
STREAM_TIMEOUT_S = 5.0  # `timeoutMs` of the route of the streams
LATE_S = 0.5
LEAST_REQUESTS = 10  # unanswered ones, for a verdict
PEER = str(Path(__file__).with_name("peer.py"))


class RemoteWorker(Worker):
    """Worker in a process of its own, at an address that is known before."""

    async def start(self):
        """Do nothing; the process listens."""

    def stop(self):
        """Do nothing; the process is ended by the case."""


async def start_peer(*words):
    """Start a process of `peer.py`."""
    return await asyncio.create_subprocess_exec(
        sys.executable, PEER, *words, stdout=asyncio.subprocess.PIPE
    )


async def pay(gateway, number, record, results):
    """Post one payment and note how long its answer took."""
    attempt = f"{number:016x}"
    headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2500")]
    answer = await request(
        gateway.front, "POST", "/pay/2f", headers, b"amount=5", timeout_s=PAY_DEADLINE_S
    )
    results.append(answer)
    record.add(f"client got for {attempt}: {answer.status} {answer.end} {answer.seconds:.3f} s")


async def pay_steadily(gateway, record, results):
    """Start a payment at each interval."""
    for number in range(1, 1 << 30):
        asyncio.create_task(pay(gateway, number, record, results))
        await asyncio.sleep(PAY_INTERVAL_S)


async def check_readiness(gateway, record):
    """Ask once a second whether the gateway is ready, like the load balancer."""
    while True:
        answer = await request(gateway.ready, "GET", "/readyz", timeout_s=1.0)
        record.add(f"readiness: {answer.status} {answer.end} {answer.seconds:.3f} s")
        await asyncio.sleep(1.0)


async def measure_lag(lags):
    """Measure by how much the event loop of this process is late."""
    while True:
        at = time.monotonic()
        await asyncio.sleep(0.01)
        lags.append(time.monotonic() - at - 0.01)


async def play(deployment, record):
    """Play the case; return the answers, the times of the streams and the longest lag (s)."""
    gateway = deployment.gateways[0]
    results, lags = [], []
    tasks = [
        asyncio.create_task(pay_steadily(gateway, record, results)),
        asyncio.create_task(check_readiness(gateway, record)),
        asyncio.create_task(measure_lag(lags)),
    ]
    await asyncio.sleep(CALM_S)
    host, _, port = gateway.front.rpartition(":")
    record.add(f"{STREAMS} clients ask for a stream")
    clients = [await start_peer("client", host, port, f"b{n:015x}") for n in range(STREAMS)]
    await asyncio.sleep(WATCHED_S)
    for task in tasks:
        task.cancel()
    stream_times = []
    for client in clients:
        output, _ = await client.communicate()
        seconds, _, text = output.decode().strip().partition("\n")
        stream_times.append(float(seconds))
        record.add(f"client of a stream: {text}")
    return results, stream_times, max(lags)


async def main(record):
    """Play the case and return the exit status."""
    workers = [Worker(f"i-{number}", "till", record, slots=6) for number in range(1, 4)]
    engine = RemoteWorker("i-4", "llm", record)
    (engine.address,) = find_free_addresses(1)
    port = engine.address.rpartition(":")[2]
    routes = [
        build_route("pay", "non_idempotent", "till", attempts=1, timeoutMs=1200, goalLatencyMs=150),
        build_route("chat", "streaming", "llm", resumable=True, gapAimMs=250),
    ]
    peer = await start_peer("worker", port, str(int(TROUBLE)))
    try:
        async with Deployment(record, [*workers, engine], routes) as deployment:
            results, stream_times, lag_s = await play(deployment, record)
    finally:
        peer.kill()
        await peer.wait()
    # Time by which each request has outlasted its route's timeout.
    excess = [answer.seconds - PAY_TIMEOUT_S for answer in results]
    excess += [seconds - STREAM_TIMEOUT_S for seconds in stream_times]
    unanswered = [seconds for seconds in excess if seconds > 0.0]
    late = [seconds for seconds in unanswered if seconds > LATE_S]
    is_broken = len(unanswered) >= LEAST_REQUESTS and 2 * len(late) > len(unanswered)
    text = (
        f"of {len(results)} payments and {len(stream_times)} streams {len(unanswered)} had no "
        f"final answer at their route's timeout, {len(late)} of these none {LATE_S} s later; "
        f"lag of this process {lag_s:.3f} s"
    )
    return record.conclude(is_broken, text)


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
