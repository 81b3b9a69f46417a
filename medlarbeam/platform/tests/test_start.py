"""What a gateway process loads before it serves; each module adds to the cost of a start."""

import subprocess
import sys

import pytest

# Prints the modules that the process has loaded when its settings are read.
LIST_MODULES = "import sys, medlarbeam.platform.__main__; print(*sys.modules, sep='\\n')"
COUNT_CERTIFICATES = (
    "import medlarbeam.platform.__main__; from aiohttp import connector; "
    "print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509'])"
)


def run_python(code):
    return subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True, timeout=60
    ).stdout.split()


@pytest.fixture(scope="module")
def modules():
    return run_python(LIST_MODULES)


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("cappa", id="library-of-command-lines"),
        pytest.param("rich", id="library-of-terminals"),
        pytest.param("hdrh", id="histograms-of-experiments"),
        pytest.param("pytest", id="tests"),
        pytest.param("medlarbeam.bench", id="benchmarks"),
        pytest.param("medlarbeam.checking", id="search-of-event-orders"),
        pytest.param("medlarbeam.cli", id="commands-of-operators"),
        pytest.param("medlarbeam.daemon.main", id="daemon-of-the-other-front-end"),
        pytest.param("medlarbeam.experiment", id="experiments"),
        pytest.param("medlarbeam.node.node", id="node-of-the-other-front-end"),
        pytest.param("medlarbeam.soak", id="soak"),
        pytest.param("medlarbeam.standins", id="stand-ins"),
    ],
)
def test_gateway_does_not_load(modules, name):
    """Guards against an import that each start pays for and no gateway needs."""
    assert "medlarbeam.platform.gateway_daemon" in modules
    assert [m for m in modules if m == name or m.startswith(f"{name}.")] == []


@pytest.mark.parametrize(
    "code, output",
    [
        pytest.param(COUNT_CERTIFICATES, ["0"], id="certificates-of-the-system-read"),
        pytest.param(
            "import yaml; from medlarbeam.charts import loader; "
            "print(issubclass(loader._Loader, yaml.CSafeLoader))",
            ["True"],
            id="charts-parsed-in-python",
        ),
    ],
)
def test_start_avoids(code, output):
    """Guards against work at each start that measurements have shown to be dear."""
    assert run_python(code) == output
