"""Validation of packed Cap'n Proto bytes before they are passed to the C++ reader."""

from medlarbeam.exceptions import FormatError

__all__ = ["check_packed"]

# Packed size of a word by its tag: the tag byte and one byte for each bit that is set.
_PACKED_WORD_BYTES = [1 + tag.bit_count() for tag in range(256)]


def _count_words(data):
    """Return the unpacked size of `data` in words."""
    position = words = 0
    end = len(data)
    while position < end:
        tag = data[position]
        if tag == 0:
            words += 1 + data[position + 1]
            position += 2
        elif tag == 255:
            raw_words = data[position + 9]
            words += 1 + raw_words
            position += 10 + 8 * raw_words
        else:
            words += 1
            position += _PACKED_WORD_BYTES[tag]
    if position != end:
        raise IndexError("packed word is incomplete")
    return words


def _read_segment_words(data):
    """Return the segment size in words from the segment table in the first packed word."""
    tag = data[0]
    if tag & 0x0F:
        raise FormatError("message has more than one segment")
    segment_words = 0
    position = 1
    for byte in range(4, 8):
        if tag >> byte & 1:
            segment_words |= data[position] << 8 * (byte - 4)
            position += 1
    return segment_words


def check_packed(data, max_words):
    """Check that `data` is exactly one packed message with one segment.

    The C++ reader aborts the process on a truncated message with several segments and ignores
    trailing bytes, so that both are rejected here.

    Parameters
    ----------
    data : bytes
    max_words : int
        Maximum unpacked size in words of 8 bytes.

    Returns
    -------
    int
        Unpacked size in words, without the segment table.

    Raises
    ------
    FormatError
        If the message is truncated, too large or does not have the size of its segment table.
    """
    try:
        declared_words = _read_segment_words(data)
        words = _count_words(data) - 1
    except IndexError as error:
        raise FormatError("message is truncated") from error
    if declared_words != words:
        raise FormatError(f"message declares {declared_words} words but has {words}")
    if words > max_words:
        raise FormatError(f"message of {words} words exceeds the limit of {max_words}")
    return words
