"""Each rule of pauses is held by a test: without the rule, that test fails."""

from math import inf

import pytest

from medlarbeam.gateway import server_pauses
from medlarbeam.gateway.relay import Relay
from medlarbeam.gateway.server_limits import ServerLimits
from medlarbeam.gateway.server_pauses import MAX_PAUSE_S, ServerPauses
from medlarbeam.gateway.server_selector import ServerSelector
from medlarbeam.gateway.tests import test_server_pauses as cases


class ForgetfulSet(set):
    """A set that does not know what it contains."""

    __slots__ = ()

    def __contains__(self, item):
        return False


def forget_pauses(relay, *args):
    RELAY_INIT(relay, *args)
    relay.paused_by = ForgetfulSet()


RELAY_INIT = Relay.__init__

MUTANTS = [
    (
        "selection-ignores-pauses",
        ServerPauses,
        "find_wait",
        lambda *args: 0.0,
        lambda: cases.test_nothing_is_sent_in_a_pause(["w1"], cases.send_new_requests),
    ),
    (
        "selection-ignores-pauses-in-turn",
        ServerPauses,
        "find_wait",
        lambda *args: 0.0,
        lambda: cases.test_pauses_are_kept_and_requests_end([["w0", "w1"]], 2.0, 1.0, "", 0),
    ),
    (
        "orders-ignore-pauses",
        ServerPauses,
        "is_paused",
        lambda *args: False,
        lambda: cases.test_nothing_is_sent_in_a_pause(["w1"], cases.demand_load),
    ),
    (
        "last-answer-holds",
        ServerPauses,
        "_find_end_of_answers",
        lambda self, pause, asked_until: asked_until,
        lambda: cases.test_later_end_of_two_answers_holds(2.0, 0.5, 0.2, 2.0),
    ),
    (
        "first-answer-holds",
        ServerPauses,
        "_find_end_of_answers",
        lambda self, pause, asked_until: pause.until if pause.answers > 1 else asked_until,
        lambda: cases.test_later_end_of_two_answers_holds(2.0, 1.0, 3.0, 4.0),
    ),
    (
        "pause-outlives-a-restart",
        ServerPauses,
        "_get",
        lambda self, entry: self.pauses.get(entry.name),
        lambda: cases.test_only_a_restart_ends_a_pause_early(2, cases.read_snapshot, True, 1.5),
    ),
    (
        "no-upper-bound",
        server_pauses,
        "MAX_PAUSE_S",
        inf,
        lambda: cases.test_later_end_of_two_answers_holds(2.0, 0.5, 1e30, 0.5 + MAX_PAUSE_S),
    ),
    (
        "all-requests-at-the-end-at-once",
        ServerPauses,
        "_find_spread",
        lambda *args: 1e-6,
        lambda: cases.test_end_of_a_pause_is_no_burst(None, 12, 0.2, 6),
    ),
    (
        "all-gateways-at-the-end-at-once",
        ServerPauses,
        "_find_spread",
        lambda *args: 1e-6,
        lambda: cases.test_pauses_are_kept_and_requests_end(*cases.TURNS[4][1:], 0),
    ),
    (
        "named-rate-ignored-after-a-pause",
        ServerLimits,
        "find_token_wait",
        lambda *args: 0.0,
        cases.test_rate_that_a_server_names_decides_who_waits_for_the_end_of_its_pause,
    ),
    (
        "named-rate-ignored-in-the-wait",
        ServerLimits,
        "find_interval",
        lambda *args: 0.0,
        cases.test_rate_that_a_server_names_decides_who_waits_for_the_end_of_its_pause,
    ),
    (
        "requests-wait-in-order-of-arrival",
        ServerPauses,
        "_sort_key",
        lambda self, relay: (relay.arrived_at, relay.request.request_id),
        lambda: cases.test_end_of_a_pause_is_no_burst(None, 12, 0.2, 6),
    ),
    (
        "callers-return-together",
        server_pauses,
        "PRIORITY_BAND_S",
        0.0,
        cases.test_refused_callers_return_after_the_pause_most_urgent_ones_first,
    ),
    (
        "request-is-held-though-no-server-takes-it",
        ServerSelector,
        "find_blocking_pause",
        lambda *args: None,
        lambda: cases.test_request_that_a_pausing_server_refused(
            "pay", cases.LEDGERS[:1], 10.0, "refused"
        ),
    ),
    (
        "server-that-pauses-each-time-is-tried-again",
        Relay,
        "__init__",
        forget_pauses,
        cases.test_server_that_pauses_each_time_is_not_tried_again,
    ),
]


@pytest.mark.parametrize(
    ("owner", "name", "value", "check"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS]
)
def test_mutant_is_caught(monkeypatch, owner, name, value, check):
    """A rule without which no test fails could be lost in a later change."""
    check()
    monkeypatch.setattr(owner, name, value)
    with pytest.raises((AssertionError, ValueError)):
        check()
