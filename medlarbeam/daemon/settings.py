"""Settings of the daemon: the table of flags and environment variables, and their validation."""

from inspect import Parameter, Signature, signature
from typing import Annotated

from cappa import Arg, invoke

from medlarbeam.classes.record import Record
from medlarbeam.daemon.setting_types import (
    AddressType,
    ChoiceType,
    IntegerType,
    NameType,
    PeersType,
    RateType,
    SecondsType,
    SecretType,
)
from medlarbeam.exceptions import SettingsError
from medlarbeam.node.settings import NodeSettings

__all__ = ["SETTINGS", "DaemonSettings", "Setting", "read_settings", "render_settings_page"]

ENV_PREFIX = "MEDLARBEAM_"
# Variables of medlarctl and bin/demo, which may be set in the same environment.
UNRELATED_VARIABLES = {"MEDLARBEAM_BIN", "MEDLARBEAM_NODE", "MEDLARBEAM_OPERATOR"}
NODE_PARAMETERS = signature(NodeSettings.__init__).parameters


class Setting(Record):
    """Definition of one setting of the daemon.

    Parameters
    ----------
    field : str
        Attribute name; the flag and the environment variable are derived from it.
    value_type : SettingType
    help : str
    default : str or None
        Text of the default; None for a required setting, "" for an optional one without a value.
    """

    __slots__ = ("default", "field", "help", "value_type")

    def __init__(self, field, value_type, help, default=None):
        self.field = field
        self.value_type = value_type
        self.help = help
        self.default = default

    @property
    def env(self):
        """Name of the environment variable."""
        return ENV_PREFIX + self.field.upper()

    @property
    def is_secret(self):
        """Whether the value is read from the environment only."""
        return isinstance(self.value_type, SecretType)

    @property
    def flag(self):
        """Command line flag, "" for a secret."""
        return "" if self.is_secret else "--" + self.field.replace("_", "-")


def node_setting(field, value_type, help):
    """Return the `Setting` of a `NodeSettings` field, with the default of its constructor."""
    default = NODE_PARAMETERS[field].default
    return Setting(field, value_type, help, None if default is Parameter.empty else f"{default:g}")


SETTINGS = [
    node_setting("name", NameType(), "Name of this node and its VM."),
    node_setting("cell", NameType(), "Cell of this node."),
    node_setting("failure_domain", NameType(), "Failure domain of this node."),
    Setting("http_listen", AddressType(), "Listen address for callers."),
    Setting("peer_listen", AddressType(), "Listen address for other nodes."),
    Setting(
        "admin_listen", AddressType(), "Listen address for operators; default: --http-listen.", ""
    ),
    Setting(
        "peer", PeersType(), "Name and address of another node; repeatable or comma-separated.", ""
    ),
    Setting("kv_address", AddressType(), "Address of the key-value service."),
    Setting("vm_list_address", AddressType(), "Address of the VM list service."),
    Setting("peer_secret", SecretType(), "Secret shared by all nodes; required with --peer.", ""),
    Setting("operator_secret", SecretType(), "Bearer token of the operators' interface."),
    node_setting(
        "ping_interval_s", SecondsType(0.01, 60), "Interval between pings to the peers in a cell."
    ),
    node_setting("pledge_s", SecondsType(0.1, 600), "Duration of a pledge."),
    node_setting(
        "margin_s",
        SecondsType(0.01, 60),
        "Part at the end of a pledge left unused, for clock drift and delays.",
    ),
    node_setting(
        "report_lag_s", SecondsType(0, 60), "Maximum age of the state in an engine report."
    ),
    node_setting(
        "poll_interval_s", SecondsType(0.01, 60), "Interval between reads of engine reports."
    ),
    node_setting(
        "vm_list_interval_s", SecondsType(0.01, 600), "Interval between reads of the VM list."
    ),
    node_setting(
        "confirm_limit_s",
        SecondsType(0.1, 3600),
        "Age of its confirmation above which the catalog is stale.",
    ),
    node_setting("catalog_shards", IntegerType(1, 4096), "Number of catalog shards."),
    node_setting(
        "claim_retention_s", SecondsType(60, 1e7), "Time for which the platform keeps claims."
    ),
    node_setting(
        "loads_per_s",
        RateType(0.01, 10000),
        "Adapter loads per second that the weight store allows.",
    ),
    node_setting(
        "loads_in_flight",
        IntegerType(1, 10000),
        "Adapter loads in flight that the weight store allows.",
    ),
    node_setting(
        "queue_limit",
        IntegerType(1, 100000),
        "Maximum number of requests that wait for one backend server.",
    ),
    node_setting(
        "max_attempts", IntegerType(1, 10), "Maximum number of attempts of an idempotent request."
    ),
    Setting(
        "default_deadline_s", SecondsType(0.1, 3600), "Deadline of a request that sets none.", "30"
    ),
    Setting("max_deadline_s", SecondsType(0.1, 86400), "Maximum deadline of a request.", "600"),
    Setting(
        "connect_timeout_s", SecondsType(0.01, 60), "Timeout for connecting to any service.", "1"
    ),
    Setting(
        "poll_timeout_s",
        SecondsType(0.01, 60),
        "Timeout for reading an engine report or the VM list.",
        "2",
    ),
    Setting(
        "order_timeout_s",
        SecondsType(0.1, 600),
        "Timeout for loading or unloading an adapter.",
        "30",
    ),
    Setting(
        "idle_timeout_s",
        SecondsType(0.1, 3600),
        "Timeout for a run whose backend server sends nothing.",
        "60",
    ),
    Setting("log_format", ChoiceType("json", "text"), "Format of log lines.", "json"),
    Setting(
        "log_level",
        ChoiceType("debug", "info", "warning", "error"),
        "Lowest level of the log lines that are written.",
        "info",
    ),
    Setting(
        "seed",
        IntegerType(0),
        "Seed of random choices; default: derived from name and incarnation.",
        "",
    ),
]


class DaemonSettings:
    """Validated settings of the daemon.

    Parameters
    ----------
    values : dict of str to object
        Values by the field names of `SETTINGS`; None for an optional setting without a value.
    incarnation : int

    Notes
    -----
    The settings of the node are in the `NodeSettings` `node`, all others are attributes.
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
        daemon_fields = [slot for slot in self.__slots__ if slot != "node"]
        for slot in daemon_fields:
            setattr(self, slot, values[slot])
        self.peer = values["peer"] or []
        fields = {name: value for name, value in values.items() if name not in daemon_fields}
        peers = [peer.name for peer in self.peer]
        self.node = NodeSettings(incarnation=incarnation, peers=peers, **fields)


def read_settings(argv, environ, incarnation):
    """Read and validate all settings.

    Parameters
    ----------
    argv : list of str
        Command line without the program name; flags take precedence over the environment.
    environ : mapping of str to str
    incarnation : int

    Returns
    -------
    DaemonSettings

    Raises
    ------
    SettingsError
        If any setting is invalid; the message lists all of them.
    SystemExit
        After ``--help``, or when the command line has an unknown flag.
    """
    flags = invoke(build_command(), argv=argv, completion=False)
    errors = find_unknown_variables(environ)
    values = {}
    for setting in SETTINGS:
        values[setting.field] = read_value(setting, flags, environ, errors)
    errors += check_combinations(values)
    if errors:
        raise SettingsError("invalid settings:\n" + "\n".join(f"  {e}" for e in errors))
    return DaemonSettings(values, incarnation)


def build_command():
    """Return a command function for cappa that returns the raw texts of the flags by field.

    The signature is generated from `SETTINGS` for each call, because cappa modifies it.
    """

    def medlarbeamd(**flag_values):
        return flag_values

    medlarbeamd.__doc__ = "Serve callers in front of the backend servers of a cell."
    annotations = {}
    for setting in SETTINGS:
        if setting.is_secret:
            continue
        text = list[str] if setting.value_type.repeatable else str
        argument = Arg(long=setting.flag, help=f"{setting.help} [{setting.env}]")
        annotations[setting.field] = Annotated[text | None, argument]
    medlarbeamd.__annotations__ = annotations
    medlarbeamd.__signature__ = Signature(
        Parameter(name, Parameter.KEYWORD_ONLY, default=None, annotation=annotation)
        for name, annotation in annotations.items()
    )
    return medlarbeamd


def find_unknown_variables(environ):
    """Return an error for each variable with the prefix that is no setting, such as a typo."""
    known = {setting.env for setting in SETTINGS} | UNRELATED_VARIABLES
    return [
        f"{name}: unknown setting"
        for name in sorted(environ)
        if name.startswith(ENV_PREFIX) and name not in known
    ]


def read_value(setting, flags, environ, errors):
    """Return the value of a setting; return None and append to `errors` if it is invalid."""
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
        return setting.value_type.parse(text)
    except ValueError as error:
        shown = "" if setting.is_secret else f" {text!r}:"
        errors.append(f"{source}:{shown} {error}")
        return None


def check_combinations(values):
    """Return the errors in combinations of settings; invalid settings (None) are not compared."""
    errors = []
    pledge_times = [values["pledge_s"], values["margin_s"], values["ping_interval_s"]]
    if None not in pledge_times and pledge_times[0] <= pledge_times[1] + pledge_times[2]:
        errors.append("--pledge-s: must be above --margin-s plus --ping-interval-s")
    deadlines = [values["default_deadline_s"], values["max_deadline_s"]]
    if None not in deadlines and deadlines[0] > deadlines[1]:
        errors.append("--default-deadline-s: must not be above --max-deadline-s")
    names = [peer.name for peer in values["peer"] or []]
    if values["name"] in names:
        errors.append(f"--peer: lists this node itself, {values['name']}")
    if names and values["peer_secret"] is None:
        errors.append(f"{ENV_PREFIX}PEER_SECRET: no valid secret, which --peer requires")
    return errors + check_listen_addresses(values)


def check_listen_addresses(values):
    """Return an error for each listen address that is the same as an earlier one."""
    errors = []
    addresses_in_use = {}
    for field in ("http_listen", "peer_listen", "admin_listen"):
        address = values[field]
        if address is None or address.port == 0:  # port 0: the system assigns distinct ports
            continue
        flag = "--" + field.replace("_", "-")
        earlier_flag = addresses_in_use.setdefault((address.ip, address.port), flag)
        if earlier_flag != flag:
            errors.append(f"{flag}: same address as {earlier_flag}")
    return errors


def render_settings_page():
    """Return `docs/settings.md` as Markdown text."""
    lines = [
        "# Settings of medlarbeamd",
        "",
        "Generated from `medlarbeam/daemon/settings.py`; a test fails if the two differ. Flags",
        "take precedence over environment variables. All settings are validated at start, and all",
        "errors are reported together. Secrets are read from the environment only.",
        "",
        "| flag | environment variable | value | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for setting in SETTINGS:
        flag = f"`{setting.flag}`" if setting.flag else ""
        default = "required" if setting.default is None else setting.default or "unset"
        cells = [flag, f"`{setting.env}`", setting.value_type.label, default, setting.help]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"
