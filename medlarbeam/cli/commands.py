"""Commands of ``medlarctl`` as HTTP requests to a node."""

from abc import ABC, abstractmethod
from pathlib import Path
from uuid import uuid4

from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.release_notes import parse_note

__all__ = [
    "Apply",
    "Audit",
    "Command",
    "Drain",
    "DryRun",
    "List",
    "Show",
    "Status",
    "Undrain",
]


class Command(ABC):
    """A command that sends one HTTP request to a node."""

    __slots__ = ()

    method = "GET"

    @abstractmethod
    def path(self):
        """Return the path below ``/admin/v1/``."""

    def body(self):
        """Return the request body, or None if there is none.

        Raises
        ------
        FormatError
            If a file cannot be read or is not a release note.
        """

    def headers(self):
        """Return the additional HTTP headers of this command."""
        return {}


class Apply(Command):
    """Apply a release note; applying the same note id again is idempotent.

    Parameters
    ----------
    file : str
        Path of the note.
    note_id : str or None
        Id of the note; None generates one.
    """

    __slots__ = ("file", "note_id")

    method = "POST"

    def __init__(self, file, note_id):
        self.file = file
        self.note_id = note_id or f"note-{uuid4().hex[:16]}"

    def path(self):
        """Return the path of the notes."""
        return "notes"

    def body(self):
        """Return the contents of the note file after validating them."""
        try:
            data = Path(self.file).read_bytes()
        except OSError as error:
            raise FormatError(f"cannot read {self.file}: {error.strerror}") from error
        parse_note(data, self.note_id, "")
        return data

    def headers(self):
        """Return the header with the note id."""
        return {"X-Note-Id": self.note_id}


class DryRun(Apply):
    """Validate a release note against the catalog without applying it."""

    __slots__ = ()

    def path(self):
        """Return the path of a dry run."""
        return "notes?dry_run=1"


class Show(Command):
    """Show a release note."""

    __slots__ = ("note_id",)

    def __init__(self, note_id):
        self.note_id = note_id

    def path(self):
        """Return the path of the note."""
        return f"notes/{self.note_id}"


class List(Command):
    """List release notes."""

    __slots__ = ()

    def path(self):
        """Return the path of the notes."""
        return "notes"


class Status(Command):
    """Show a node, its backend servers and the nodes that use the current catalog."""

    __slots__ = ()

    def path(self):
        """Return the path of the status."""
        return "status"


class Audit(Command):
    """Show the audit trail, newest first."""

    __slots__ = ()

    def path(self):
        """Return the path of the audit trail."""
        return "audit"


class Drain(Command):
    """Stop sending new requests to a backend server."""

    __slots__ = ("server",)

    method = "POST"

    def __init__(self, server):
        self.server = server

    def path(self):
        """Return the path of the order."""
        return f"servers/{self.server}/drain"


class Undrain(Drain):
    """Send new requests to a drained backend server again."""

    __slots__ = ()

    def path(self):
        """Return the path of the order."""
        return f"servers/{self.server}/undrain"
