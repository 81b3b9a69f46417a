"""Completion texts of the engine stand-in, a deterministic function of model and prompt."""

import re

import xxhash

__all__ = ["completion_tokens", "remaining_tokens"]

_WORDS = (
    "amber basil cedar clover copper coral cotton daisy ember fennel fern flint ginger hazel heron "
    "indigo jasper juniper larch lemon linen maple mint moss nutmeg olive opal pepper pine quartz "
    "sage willow"
).split()


def completion_tokens(model, prompt, limit):
    """Return the tokens of a completion; their concatenation is its text.

    Parameters
    ----------
    model, prompt : str
    limit : int
        Number of tokens, at least 1. A smaller limit returns a prefix of the same tokens.
    """
    tokens = [model, " answers:"]
    seed = xxhash.xxh64_intdigest(f"{model}\n{prompt}".encode())
    for index in range(limit - 2):
        digest = xxhash.xxh64_intdigest(str(index).encode(), seed=seed)
        tokens.append(f" {_WORDS[digest % len(_WORDS)]}")
    return tokens[:limit]


def remaining_tokens(tokens, prefix):
    """Return the tokens that follow `prefix`, or None if the text does not start with it."""
    text = "".join(tokens)
    if not text.startswith(prefix):
        return None
    return re.findall(r"\s*\S+", text[len(prefix) :])
