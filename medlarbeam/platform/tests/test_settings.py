"""Settings file of a gateway.

Guards against a contract or a bound that no part of the gateway serves, without a word of it.
"""

import pytest

from medlarbeam.platform.settings import read_platform_settings

SETTINGS = """nodeName = "n1"
zone = "z1"
ip = "10.0.0.1"
internalPorts = [7400, 7415]
{head}
[listen]
front = "10.0.0.1:80"
readyAddr = "10.0.0.1:81"
[platform]
address = "10.0.0.9:90"
[bounds]
{bounds}
"""
CASES = {
    "served-contracts-are-not-named": ('contracts = ["base", "tenants"]', "drainMs = 3000", []),
    "contract-is-ignored-without-a-word": (
        'contracts = ["base", "pressure", "new"]',
        "",
        ["contract=pressure", "contract=new"],
    ),
    "bound-is-ignored-without-a-word": (
        "",
        "revokeMs = 5000\nnewMs = 1",
        ["bound=revokeMs", "bound=newMs"],
    ),
}


@pytest.mark.parametrize(("head", "bounds", "unserved"), CASES.values(), ids=CASES)
def test_settings_name_what_is_not_served(tmp_path, head, bounds, unserved):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.format(head=head, bounds=bounds))
    assert read_platform_settings(path, 1).unserved == unserved
