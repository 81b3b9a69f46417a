"""Encoding of etcd v3's JSON gateway: base64 keys and values, 64-bit numbers as strings."""

import base64
import binascii
import re

from medlarbeam.exceptions import FormatError

__all__ = ["decode_bytes", "decode_enum", "decode_int", "encode_bytes", "snake_case"]


def snake_case(document):
    """Return a JSON document with its keys in snake case.

    Notes
    -----
    The gateway accepts keys in camel case and in snake case.
    """
    if isinstance(document, list):
        return [snake_case(item) for item in document]
    if isinstance(document, dict):
        return {_snake_key(key): snake_case(value) for key, value in document.items()}
    return document


def _snake_key(key):
    if key.isupper():  # "ID", "TTL"
        return key.lower()
    return re.sub(r"([A-Z])", lambda match: "_" + match.group(1).lower(), key)


def decode_bytes(document, key):
    """Return the base64 field `key` as bytes; empty if the field is absent."""
    text = document.get(key, "")
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise FormatError(f"field {key!r} is not base64: {text!r}") from error


def encode_bytes(value):
    """Encode bytes as base64 text."""
    return base64.b64encode(value).decode()


def decode_int(document, key):
    """Return the field `key`, a number or a decimal string, as an int; 0 if it is absent."""
    value = document.get(key, 0)
    try:
        if isinstance(value, (bool, float)):
            raise ValueError
        return int(value)
    except (TypeError, ValueError) as error:
        raise FormatError(f"field {key!r} is not an integer: {value!r}") from error


def decode_enum(document, key, names):
    """Return the name of the enumeration field `key`, given as a name or an index in `names`."""
    value = document.get(key, names[0])
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < len(names):
        return names[value]
    if value not in names:
        raise FormatError(f"field {key!r} is {value!r}, expected one of {', '.join(names)}")
    return value
