"""Check of packed Cap'n Proto bytes before the C++ reader sees them."""

from medlarbeam.exceptions import FormatError

__all__ = ["check_packed"]

# Bytes taken by a packed word with this tag: the tag and one byte for each bit set.
_TAKEN = [1 + tag.bit_count() for tag in range(256)]


def _count_words(data):
    """Return the number of words that packed `data` unpacks to."""
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
            position += _TAKEN[tag]
    if position != end:
        raise IndexError("packed word is incomplete")
    return words


def _segment_words(data):
    """Return the size that the segment table in the first packed word states."""
    tag = data[0]
    if tag & 0x0F:
        raise FormatError("message has more than one segment")
    size = 0
    position = 1
    for byte in range(4, 8):
        if tag >> byte & 1:
            size |= data[position] << 8 * (byte - 4)
            position += 1
    return size


def check_packed(data, max_words):
    """Check that `data` is exactly one packed message of one segment.

    The C++ reader ends the process on a truncated message of several segments and passes over
    trailing bytes, so both are refused here.

    Parameters
    ----------
    data : bytes
    max_words : int
        Greatest unpacked size in words of 8 bytes.

    Returns
    -------
    int
        Unpacked size in words, without the segment table.

    Raises
    ------
    FormatError
    """
    try:
        stated = _segment_words(data)
        words = _count_words(data) - 1
    except IndexError as error:
        raise FormatError("message is truncated") from error
    if stated != words:
        raise FormatError(f"message states {stated} words and has {words}")
    if words > max_words:
        raise FormatError(f"message of {words} words is above the limit of {max_words}")
    return words
