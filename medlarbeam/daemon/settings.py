"""Settings of the daemon: one table of flags and environment variables, checked at start."""

from inspect import Parameter, Signature, signature
from typing import Annotated

from cappa import Arg, invoke

from medlarbeam.classes.record import Record
from medlarbeam.daemon.setting_kinds import (
    AddressKind,
    ChoiceKind,
    IntegerKind,
    NameKind,
    PeersKind,
    RateKind,
    SecondsKind,
    SecretKind,
)
from medlarbeam.exceptions import SettingsError
from medlarbeam.node.settings import NodeSettings

__all__ = ["SETTINGS", "DaemonSettings", "Setting", "read_settings", "render_settings_page"]

ENV_PREFIX = "MEDLARBEAM_"
# Variables of medlarctl and bin/demo, which may be set in the same environment.
OTHER_VARIABLES = {"MEDLARBEAM_BIN", "MEDLARBEAM_NODE", "MEDLARBEAM_OPERATOR"}
NODE_FIELDS = signature(NodeSettings.__init__).parameters


class Setting(Record):
    """One setting of the daemon.

    Parameters
    ----------
    field : str
        Name as an attribute; the flag and the environment variable follow from it.
    kind : SettingKind
    help : str
    default : str or None
        Text of the default; None for a required setting, "" for an optional one that is unset.
    """

    __slots__ = ("default", "field", "help", "kind")

    def __init__(self, field, kind, help, default=None):
        self.field = field
        self.kind = kind
        self.help = help
        self.default = default

    @property
    def env(self):
        """Name of the environment variable."""
        return ENV_PREFIX + self.field.upper()

    @property
    def is_secret(self):
        """Whether the value is taken from the environment only."""
        return isinstance(self.kind, SecretKind)

    @property
    def flag(self):
        """Command line flag, "" for a secret."""
        return "" if self.is_secret else "--" + self.field.replace("_", "-")


def describe_node_field(field, kind, help):
    """Return the `Setting` of a `NodeSettings` field with the default that the class gives it."""
    default = NODE_FIELDS[field].default
    return Setting(field, kind, help, None if default is Parameter.empty else f"{default:g}")


SETTINGS = [
    describe_node_field("name", NameKind(), "Name of this node and its VM."),
    describe_node_field("cell", NameKind(), "Cell that this node belongs to."),
    describe_node_field("failure_domain", NameKind(), "Failure domain of this node."),
    Setting("http_listen", AddressKind(), "Address for callers."),
    Setting("peer_listen", AddressKind(), "Address for peers."),
    Setting("admin_listen", AddressKind(), "Address for operators; unset: that of callers.", ""),
    Setting("peer", PeersKind(), "Another node; repeatable, separated by commas.", ""),
    Setting("kv_address", AddressKind(), "Key-value service."),
    Setting("vm_list_address", AddressKind(), "VM list service."),
    Setting("peer_secret", SecretKind(), "Secret that all nodes share; required with peers.", ""),
    Setting("operator_secret", SecretKind(), "Bearer secret of the operators' interface."),
    describe_node_field("ping_interval_s", SecondsKind(0.01, 60), "Interval of pings in a cell."),
    describe_node_field("pledge_s", SecondsKind(0.1, 600), "How long a pledge lasts."),
    describe_node_field(
        "margin_s", SecondsKind(0.01, 60), "Part of a pledge left unused for drift and delays."
    ),
    describe_node_field(
        "report_lag_s", SecondsKind(0, 60), "Greatest age of the state in an engine report."
    ),
    describe_node_field("poll_interval_s", SecondsKind(0.01, 60), "Interval of engine reports."),
    describe_node_field("vm_list_interval_s", SecondsKind(0.01, 600), "Interval of VM list reads."),
    describe_node_field(
        "confirm_limit_s", SecondsKind(0.1, 3600), "Confirmation age of a node out of touch."
    ),
    describe_node_field("catalog_shards", IntegerKind(1, 4096), "Shards of the catalogue."),
    describe_node_field(
        "claim_retention_s", SecondsKind(60, 1e7), "How long claims are kept at the platform."
    ),
    describe_node_field(
        "loads_per_s", RateKind(0.01, 10000), "Adapter loads that the weight store sustains."
    ),
    describe_node_field(
        "loads_in_flight", IntegerKind(1, 10000), "Adapter loads in flight at the weight store."
    ),
    describe_node_field(
        "queue_limit", IntegerKind(1, 100000), "Requests that wait for one backend server."
    ),
    describe_node_field("max_attempts", IntegerKind(1, 10), "Attempts of an idempotent request."),
    Setting(
        "default_deadline_s", SecondsKind(0.1, 3600), "Deadline of requests that name none.", "30"
    ),
    Setting("max_deadline_s", SecondsKind(0.1, 86400), "Longest deadline of a request.", "600"),
    Setting("connect_timeout_s", SecondsKind(0.01, 60), "Connecting to any service.", "1"),
    Setting("poll_timeout_s", SecondsKind(0.01, 60), "Reading an engine report or VM list.", "2"),
    Setting("order_timeout_s", SecondsKind(0.1, 600), "Loading or unloading an adapter.", "30"),
    Setting(
        "idle_timeout_s", SecondsKind(0.1, 3600), "Silence of a backend server in a run.", "60"
    ),
    Setting("log_format", ChoiceKind("json", "text"), "Format of log lines.", "json"),
    Setting("log_level", ChoiceKind("debug", "info", "warning", "error"), "Log level.", "info"),
    Setting(
        "seed", IntegerKind(0), "Seed of random choices; unset: from name and incarnation.", ""
    ),
]


class DaemonSettings:
    """Checked settings of the daemon.

    Parameters
    ----------
    values : dict of str to object
        Value by field of `SETTINGS`, None where an optional setting is unset.
    incarnation : int

    Notes
    -----
    `node` holds the `NodeSettings`; every other setting is an attribute.
    """

    __slots__ = (
        "admin_listen",
        "connect_timeout_s",
        "default_deadline_s",
        "http_listen",
        "idle_timeout_s",
        "kv_address",
        "log_format",
        "log_level",
        "max_deadline_s",
        "node",
        "operator_secret",
        "order_timeout_s",
        "peer",
        "peer_listen",
        "peer_secret",
        "poll_timeout_s",
        "seed",
        "vm_list_address",
    )

    def __init__(self, values, incarnation):
        own = [slot for slot in self.__slots__ if slot != "node"]
        for slot in own:
            setattr(self, slot, values[slot])
        self.peer = values["peer"] or []
        fields = {name: value for name, value in values.items() if name not in own}
        peers = [peer.name for peer in self.peer]
        self.node = NodeSettings(incarnation=incarnation, peers=peers, **fields)


def read_settings(argv, environ, incarnation):
    """Read and check all settings.

    Parameters
    ----------
    argv : list of str
        Command line without the program name; flags win over the environment.
    environ : mapping of str to str
    incarnation : int

    Returns
    -------
    DaemonSettings

    Raises
    ------
    SettingsError
        Lists every invalid setting.
    SystemExit
        After ``--help``, or when the command line has an unknown flag.
    """
    flags = invoke(build_command(), argv=argv, completion=False)
    errors = find_unknown_variables(environ)
    values = {}
    for setting in SETTINGS:
        values[setting.field] = read_value(setting, flags, environ, errors)
    errors += check_together(values)
    if errors:
        raise SettingsError("invalid settings:\n" + "\n".join(f"  {e}" for e in errors))
    return DaemonSettings(values, incarnation)


def build_command():
    """Return a function command for cappa that returns the raw texts of the flags by field.

    The signature is made from `SETTINGS`, and anew for each call, because cappa changes it.
    """

    def medlarbeamd(**texts):
        return texts

    medlarbeamd.__doc__ = "Serve callers in front of the backend servers of a cell."
    annotations = {}
    for setting in SETTINGS:
        if setting.is_secret:
            continue
        text = list[str] if setting.kind.repeatable else str
        argument = Arg(long=setting.flag, help=f"{setting.help} [{setting.env}]")
        annotations[setting.field] = Annotated[text | None, argument]
    medlarbeamd.__annotations__ = annotations
    medlarbeamd.__signature__ = Signature(
        Parameter(name, Parameter.KEYWORD_ONLY, default=None, annotation=annotation)
        for name, annotation in annotations.items()
    )
    return medlarbeamd


def find_unknown_variables(environ):
    """Return an error for each variable with our prefix that is no setting, as a typo would be."""
    known = {setting.env for setting in SETTINGS} | OTHER_VARIABLES
    return [
        f"{name}: unknown setting"
        for name in sorted(environ)
        if name.startswith(ENV_PREFIX) and name not in known
    ]


def read_value(setting, flags, environ, errors):
    """Return the value of a setting or None, and append to `errors` what is wrong with it."""
    text = flags.get(setting.field)
    source = setting.flag if text is not None else setting.env
    if isinstance(text, list):
        text = ",".join(text)
    if text is None:
        text = environ.get(setting.env, setting.default)
    if text is None:
        hint = f" and {setting.env} is unset" if setting.flag else ""
        errors.append(f"{setting.flag or setting.env}: missing{hint}")
        return None
    if text == "" and setting.default == "":
        return None
    try:
        return setting.kind.parse(text)
    except ValueError as error:
        shown = "" if setting.is_secret else f" {text!r}:"
        errors.append(f"{source}:{shown} {error}")
        return None


def check_together(values):
    """Return the errors that concern several settings at once; invalid ones (None) are left out."""
    errors = []
    times = [values["pledge_s"], values["margin_s"], values["ping_interval_s"]]
    if None not in times and times[0] <= times[1] + times[2]:
        errors.append("--pledge-s: must be above --margin-s plus --ping-interval-s")
    deadlines = [values["default_deadline_s"], values["max_deadline_s"]]
    if None not in deadlines and deadlines[0] > deadlines[1]:
        errors.append("--default-deadline-s: must not be above --max-deadline-s")
    names = [peer.name for peer in values["peer"] or []]
    if values["name"] in names:
        errors.append(f"--peer: names this node itself, {values['name']}")
    if names and values["peer_secret"] is None:
        errors.append(f"{ENV_PREFIX}PEER_SECRET: no valid secret, required with --peer")
    return errors + check_listen_addresses(values)


def check_listen_addresses(values):
    """Return an error for each listen address that another one takes already."""
    errors = []
    taken = {}
    for field in ("http_listen", "peer_listen", "admin_listen"):
        address = values[field]
        if address is None or address.port == 0:  # port 0: the system chooses distinct ports
            continue
        flag = "--" + field.replace("_", "-")
        other = taken.setdefault((address.ip, address.port), flag)
        if other != flag:
            errors.append(f"{flag}: same address as {other}")
    return errors


def render_settings_page():
    """Return `docs/settings.md` as Markdown text."""
    lines = [
        "# Settings of medlarbeamd",
        "",
        "Made from `medlarbeam/daemon/settings.py`; a test fails when the two differ. Flags win",
        "over environment variables. All settings are checked at start, and all errors are listed",
        "at once. Secrets are taken from the environment only.",
        "",
        "| flag | environment variable | value | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for setting in SETTINGS:
        flag = f"`{setting.flag}`" if setting.flag else ""
        default = "required" if setting.default is None else setting.default or "unset"
        cells = [flag, f"`{setting.env}`", setting.kind.label, default, setting.help]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"
