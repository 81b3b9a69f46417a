"""Encoding of etcd v3's JSON gateway: base64 keys and values, 64-bit numbers as strings."""

import base64
import binascii
import re

from medlarbeam.exceptions import FormatError

__all__ = ["decode_bytes", "decode_int", "decode_word", "encode_bytes", "snake_case"]


def snake_case(document):
    """Return a JSON document with its keys in snake case, which the gateway accepts as well."""
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
    """Return the base64 field `key` as bytes, empty where it is absent."""
    text = document.get(key, "")
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise FormatError(f"field {key!r} is not base64: {text!r}") from error


def encode_bytes(value):
    """Return bytes as base64 text."""
    return base64.b64encode(value).decode()


def decode_int(document, key):
    """Return the field `key`, a number or its text, as an int; 0 where it is absent."""
    value = document.get(key, 0)
    try:
        if isinstance(value, (bool, float)):
            raise ValueError
        return int(value)
    except (TypeError, ValueError) as error:
        raise FormatError(f"field {key!r} is not a whole number: {value!r}") from error


def decode_word(document, key, words):
    """Return the enumeration field `key`, given by its name or its index in `words`."""
    value = document.get(key, words[0])
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < len(words):
        return words[value]
    if value not in words:
        raise FormatError(f"field {key!r} is {value!r}, expected one of {', '.join(words)}")
    return value
