"""The rules for running and evicting, one case each."""

import pytest

from medlarbeam.node.membership import Membership
from medlarbeam.node.tests.rule_cases import CASES, observe


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_rule(case):
    """A node runs or evicts without permission, or refuses to although it has permission."""
    assert observe(Membership, case) == case[2]
