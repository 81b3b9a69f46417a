"""Settings: values are read as documented, and each invalid setting is reported at start."""

from pathlib import Path

import pytest

import medlarbeam
from medlarbeam.daemon.setting_types import Address, Peer
from medlarbeam.daemon.settings import SETTINGS, read_settings, render_settings_page
from medlarbeam.exceptions import SettingsError
from medlarbeam.node.settings import NodeSettings

SECRET = "s3cret-s3cret-s3cret"
VALID_ENVIRON = {
    "MEDLARBEAM_NAME": "n1",
    "MEDLARBEAM_CELL": "c1",
    "MEDLARBEAM_FAILURE_DOMAIN": "d1",
    "MEDLARBEAM_HTTP_LISTEN": "127.0.0.1:8080",
    "MEDLARBEAM_PEER_LISTEN": "127.0.0.1:8081",
    "MEDLARBEAM_KV_ADDRESS": "127.0.0.1:2379",
    "MEDLARBEAM_VM_LIST_ADDRESS": "[::1]:80",
    "MEDLARBEAM_OPERATOR_SECRET": SECRET,
    "MEDLARBEAM_PEER_SECRET": SECRET,
}


def make_environ(**changes):
    return VALID_ENVIRON | {f"MEDLARBEAM_{name}": text for name, text in changes.items()}


ERRORS = [
    ("missing-required", [], {}, ["--name: missing", "--kv-address: missing", "OPERATOR_SECRET"]),
    (
        "misspelt-variable",
        [],
        make_environ(PING_INTERVAL="1"),
        ["MEDLARBEAM_PING_INTERVAL: unknown"],
    ),
    (
        "only-first-error-listed",
        ["--pledge-s", "x", "--max-attempts", "0"],
        make_environ(LOG_FORMAT="xml"),
        ["--pledge-s: 'x'", "--max-attempts: '0'", "MEDLARBEAM_LOG_FORMAT: 'xml'"],
    ),
    ("not-a-number", ["--margin-s", "nan"], VALID_ENVIRON, ["--margin-s"]),
    ("host-name", ["--kv-address", "kv:2379"], VALID_ENVIRON, ["not a host name"]),
    (
        "port-too-large",
        ["--kv-address", "127.0.0.1:70000"],
        VALID_ENVIRON,
        ["port from 0 to 65535"],
    ),
    ("header-injection-by-name", ["--name", "n1\r\nx"], VALID_ENVIRON, ["--name"]),
    ("peer-without-address", ["--peer", "n2"], VALID_ENVIRON, ["expected name=ip:port"]),
    (
        "peer-twice",
        ["--peer", "n2=127.0.0.1:1", "--peer", "n2=127.0.0.1:2"],
        VALID_ENVIRON,
        ["more than once: n2"],
    ),
    ("peer-is-self", ["--peer", "n1=127.0.0.1:1"], VALID_ENVIRON, ["lists this node itself"]),
    (
        "peers-without-secret",
        ["--peer", "n2=127.0.0.1:1"],
        make_environ(PEER_SECRET=""),
        ["MEDLARBEAM_PEER_SECRET: no valid secret"],
    ),
    ("pledge-never-valid", ["--pledge-s", "1.5"], VALID_ENVIRON, ["--pledge-s: must be above"]),
    ("same-port-twice", ["--peer-listen", "127.0.0.1:8080"], VALID_ENVIRON, ["same address"]),
    ("deadline-above-limit", ["--max-deadline-s", "5"], VALID_ENVIRON, ["--default-deadline-s"]),
    ("short-secret", [], make_environ(OPERATOR_SECRET="tooshort"), ["at least 16"]),
]


@pytest.mark.parametrize(
    "argv, environ, parts", [e[1:] for e in ERRORS], ids=[e[0] for e in ERRORS]
)
def test_invalid_settings_are_all_listed(argv, environ, parts):
    with pytest.raises(SettingsError) as caught:
        read_settings(argv, environ, 1)
    assert [part for part in parts if part not in str(caught.value)] == []
    assert "tooshort" not in str(caught.value)  # error messages never contain a secret


VALUES = [
    (
        "variable-overrides-flag",
        ["--pledge-s", "4"],
        make_environ(PLEDGE_S="5"),
        "node.pledge_s",
        4.0,
    ),
    ("variable-ignored", [], make_environ(PLEDGE_S="5"), "node.pledge_s", 5.0),
    ("peers-unknown-to-node", ["--peer", "a=127.0.0.1:1"], VALID_ENVIRON, "node.peers", ["a"]),
    ("ipv6-brackets", [], VALID_ENVIRON, "vm_list_address", Address("::1", 80)),
    (
        "repeated-flag-keeps-last-only",
        ["--peer", "a=127.0.0.1:1", "--peer", "b=127.0.0.1:2"],
        VALID_ENVIRON,
        "peer",
        [Peer("a", Address("127.0.0.1", 1)), Peer("b", Address("127.0.0.1", 2))],
    ),
    ("secret-not-bytes", [], VALID_ENVIRON, "operator_secret", SECRET.encode()),
    ("optional-not-none", [], VALID_ENVIRON, "admin_listen", None),
    ("incarnation-lost", [], VALID_ENVIRON, "node.incarnation", 9),
]


@pytest.mark.parametrize(
    "argv, environ, path, expected", [v[1:] for v in VALUES], ids=[v[0] for v in VALUES]
)
def test_value_is_read(argv, environ, path, expected):
    value = read_settings(argv, environ, 9)
    for name in path.split("."):
        value = getattr(value, name)
    assert value == expected


def test_settings_page_is_current():
    page = Path(medlarbeam.__file__).parent.parent / "docs" / "settings.md"
    assert page.read_text(encoding="utf-8") == render_settings_page()


def test_every_node_setting_can_be_set():
    not_set_by_users = {"incarnation", "peers"}
    assert set(NodeSettings.__slots__) - not_set_by_users <= {s.field for s in SETTINGS}
