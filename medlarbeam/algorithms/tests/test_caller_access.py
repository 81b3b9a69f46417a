"""Organisations by key.

Guards against requests that run for another organisation, or for none although one is required.
"""

import pytest

from medlarbeam.algorithms.caller_access import OpenAccess, build_access, digest_key
from medlarbeam.classes.organisations import CallerCredential, Organisation
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.gateway.tests.fleet_samples import ROUTES, make_config


def make_organisation(name, *keys):
    return Organisation(name, [digest_key(key) for key in keys])


ACME, BOLT = make_organisation("acme", "k1", "k2"), make_organisation("bolt", "k3")
CREDENTIALS = [
    ("key", [ACME, BOLT], ["k3"], False, "bolt"),
    ("second-key", [ACME, BOLT], ["k2"], False, "acme"),
    ("no-key", [ACME], [], False, None),
    ("unknown-key", [ACME], ["k3"], False, None),
    ("two-keys-of-one-organisation", [ACME], ["k1", "k2"], False, None),
    ("surrogates-in-a-key", [ACME], ["k1\udcff"], False, None),
    ("key-of-two-organisations", [BOLT, make_organisation("late", "k3")], ["k3"], False, "bolt"),
    ("organisations-without-keys", [make_organisation("acme")], [""], False, None),
    ("no-organisation-left", [], ["k1"], False, None),
    ("public-route", [ACME], [], True, ""),
    ("public-route-with-a-key", [ACME], ["k1"], True, ""),
]


@pytest.mark.parametrize(
    ("organisations", "keys", "is_public", "expected"),
    [c[1:] for c in CREDENTIALS],
    ids=[c[0] for c in CREDENTIALS],
)
def test_organisation_of_a_request(organisations, keys, is_public, expected):
    config = make_config()
    config.organisations = organisations
    route = ROUTES[0]
    route = type(route)(*(getattr(route, n) for n in FIELDS), is_public=is_public)
    credential = CallerCredential(tuple(digest_key(key) for key in keys))
    found = build_access(config).identify(credential, route)
    if expected is None:
        assert isinstance(found, Failure) and found.kind is ErrorKind.NOT_AUTHORIZED
    else:
        assert found == expected


FIELDS = (
    "name",
    "host",
    "prefix",
    "kind",
    "targets",
    "timeout_s",
    "latency_goal_s",
    "gap_goal_s",
    "attempts",
    "priority",
    "resumable",
)


def test_configuration_without_organisations_asks_for_no_key():
    access = build_access(make_config())
    assert isinstance(access, OpenAccess)
    assert access.identify(CallerCredential(), ROUTES[0]) == ""


def test_conflict_names_both_organisations():
    config = make_config()
    config.organisations = [ACME, make_organisation("late", "k2")]
    assert build_access(config).conflicts == [("acme", "late")]
