"""Entry point of ``medlarctl``."""

import asyncio
import os
import sys
from typing import Annotated

from aiohttp import ClientError, ClientSession, ClientTimeout
from cappa import Arg, Env, command, invoke
from orjson import JSONDecodeError, dumps, loads

from medlarbeam.cli.commands import (
    Apply,
    Audit,
    Drain,
    DryRun,
    List,
    Show,
    Status,
    Undrain,
)
from medlarbeam.cli.explain import explain_request, read_lines
from medlarbeam.cli.tables import render_document
from medlarbeam.exceptions import ErrorKind, FormatError

__all__ = ["EXIT_CODES", "Connection", "Medlarctl", "main", "run"]

TIMEOUT_S = 40.0  # a note is awaited until it is in force everywhere, 14 s at most
EXIT_REFUSED = 1
EXIT_NOT_REACHED = 5
EXIT_CODES = {
    ErrorKind.NOTE_CONFLICT.value: 3,
    ErrorKind.PLATFORM_UNAVAILABLE.value: 4,
    ErrorKind.PLATFORM_UNKNOWN.value: 4,
}


class Connection:
    """Whom to ask, and how to print the answer.

    Parameters
    ----------
    node : str
        ``ip:port`` of any node's operators' interface.
    operator : str
        Name for the audit trail.
    json : bool
        Print the JSON document instead of a table.
    secret : str
    """

    __slots__ = ("json", "node", "operator", "secret")

    def __init__(self, node, operator, json, secret):
        self.node = node
        self.operator = operator
        self.json = json
        self.secret = secret


Node = Annotated[
    str,
    Arg(
        long="--node",
        default=Env("MEDLARBEAM_NODE", default="127.0.0.1:8080"),
        help="ip:port of any node.",
    ),
]
Operator = Annotated[
    str,
    Arg(
        long="--operator",
        default=Env("MEDLARBEAM_OPERATOR", default="unnamed"),
        help="Name for the audit trail.",
    ),
]
Json = Annotated[bool, Arg(long="--json", help="Print the JSON document.")]
NoteFile = Annotated[str, Arg(help="Release note, YAML or JSON.")]
NoteId = Annotated[str, Arg(help="Id of the note.")]
NewNoteId = Annotated[str | None, Arg(long="--note-id", help="Id of the note; default: a new one.")]
RequestId = Annotated[str, Arg(help="Id of the request, or the caller's id of its attempt.")]
LogFile = Annotated[str, Arg(help="Log of one or more nodes; - for standard input.")]
Server = Annotated[str, Arg(help="Name of the backend server.")]


@command(name="medlarctl")
class Medlarctl:
    """Operate medlarbeam through any of its nodes."""

    __slots__ = ()

    @command(name="apply")
    def apply(
        self,
        file: NoteFile,
        node: Node,
        operator: Operator,
        json: Json = False,
        note_id: NewNoteId = None,
    ):
        """Apply a release note; the same note id can safely be applied again."""
        return run_command(Apply(file, note_id), node, operator, json)

    @command(name="dry-run")
    def dry_run(self, file: NoteFile, node: Node, operator: Operator, json: Json = False):
        """Check a release note against the catalogue and change nothing."""
        return run_command(DryRun(file, None), node, operator, json)

    @command(name="show")
    def show(self, note_id: NoteId, node: Node, operator: Operator, json: Json = False):
        """Show a release note."""
        return run_command(Show(note_id), node, operator, json)

    @command(name="list")
    def list(self, node: Node, operator: Operator, json: Json = False):
        """List release notes."""
        return run_command(List(), node, operator, json)

    @command(name="status")
    def status(self, node: Node, operator: Operator, json: Json = False):
        """Show a node, its backend servers and where the catalogue is in force."""
        return run_command(Status(), node, operator, json)

    @command(name="audit")
    def audit(self, node: Node, operator: Operator, json: Json = False):
        """Show the audit trail, newest first."""
        return run_command(Audit(), node, operator, json)

    @command(name="drain")
    def drain(self, server: Server, node: Node, operator: Operator, json: Json = False):
        """Give a backend server no new work."""
        return run_command(Drain(server), node, operator, json)

    @command(name="undrain")
    def undrain(self, server: Server, node: Node, operator: Operator, json: Json = False):
        """Give a drained backend server new work again."""
        return run_command(Undrain(server), node, operator, json)

    @command(name="explain")
    def explain(self, request_id: RequestId, log_file: LogFile = "-", json: Json = False):
        """Show what a gateway's log says about a request, and what happened around it."""
        return explain(request_id, log_file, json, sys.stdout, sys.stderr)


def explain(request_id, log_file, json, stdout, stderr):
    """Print the explanation of a request; return the exit code, 0 or 1 where it is not found."""
    try:
        if log_file == "-":
            found = explain_request(request_id, read_lines(sys.stdin))
        else:
            with open(log_file, encoding="utf-8", errors="replace") as file:
                found = explain_request(request_id, read_lines(file))
    except (FormatError, OSError) as error:
        print(f"medlarctl: {error}", file=stderr)
        return EXIT_REFUSED
    document = found.document()
    print(dumps(document).decode() if json else render_document(document), file=stdout)
    return 0


async def _ask(order, connection):
    headers = {
        "Authorization": f"Bearer {connection.secret}",
        "X-Operator": connection.operator,
        **order.headers(),
    }
    url = f"http://{connection.node}/admin/v1/{order.path()}"
    async with ClientSession(timeout=ClientTimeout(total=TIMEOUT_S)) as session:
        async with session.request(
            order.method, url, headers=headers, data=order.body()
        ) as response:
            return loads(await response.read())


def run(order, connection, stdout, stderr):
    """Carry out one command.

    Parameters
    ----------
    order : Command
    connection : Connection
    stdout, stderr : file

    Returns
    -------
    int
        Exit code: 0 done, 1 refused, 3 conflict with another note, 4 the platform does not answer
        or the outcome is unknown, 5 the node was not reached.
    """
    try:
        document = asyncio.run(_ask(order, connection))
    except FormatError as error:
        print(f"medlarctl: {error}", file=stderr)
        return EXIT_REFUSED
    except (ClientError, TimeoutError, OSError, JSONDecodeError) as error:
        reason = str(error) or type(error).__name__
        print(f"medlarctl: node {connection.node} was not reached: {reason}", file=stderr)
        return EXIT_NOT_REACHED
    error = document.get("error")
    if connection.json:
        print(dumps(document).decode(), file=stdout)
    elif error is None:
        print(render_document(document), file=stdout)
    if error is None:
        return 0
    print(f"medlarctl: {error['kind']}: {error['reason']}", file=stderr)
    return EXIT_CODES.get(error["kind"], EXIT_REFUSED)


def run_command(order, node, operator, json):
    """Carry out a command with the secret of the environment; see `run`."""
    secret = os.environ.get("MEDLARBEAM_OPERATOR_SECRET", "")
    return run(order, Connection(node, operator, json, secret), sys.stdout, sys.stderr)


def main(argv=None):
    """Run the command line; ends the process."""
    sys.exit(invoke(Medlarctl, argv=argv))
