"""Commands of ``medlarctl`` as requests to a node."""

from abc import ABC, abstractmethod
from pathlib import Path
from uuid import uuid4

from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.notes import parse_note

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
    """A command that is one HTTP request to a node."""

    __slots__ = ()

    method = "GET"

    @abstractmethod
    def path(self):
        """Return the path below ``/admin/v1/``."""

    def body(self):
        """Return the bytes to send, None for none.

        Raises
        ------
        FormatError
            If a file cannot be read or is not a release note.
        """

    def headers(self):
        """Return HTTP headers of this command."""
        return {}


class Apply(Command):
    """Apply a release note; the same note id can safely be applied again.

    Parameters
    ----------
    file : str
        Path of the note.
    note_id : str or None
        Id of the note; None makes a new one.
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
        """Return the note file, after a check of its format."""
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
    """Check a release note against the catalogue and change nothing."""

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
    """Show a node, its backend servers and where the catalogue is in force."""

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
    """Give a backend server no new work."""

    __slots__ = ("server",)

    method = "POST"

    def __init__(self, server):
        self.server = server

    def path(self):
        """Return the path of the order."""
        return f"servers/{self.server}/drain"


class Undrain(Drain):
    """Give a drained backend server new work again."""

    __slots__ = ()

    def path(self):
        """Return the path of the order."""
        return f"servers/{self.server}/undrain"
