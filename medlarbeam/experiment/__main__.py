"""Command line of the simulation: ``python -m medlarbeam.experiment``."""

import sys
from typing import Annotated

from cappa import Arg, command, invoke
from orjson import dumps

from medlarbeam.exceptions import MedlarbeamError
from medlarbeam.experiment.policies import POLICIES
from medlarbeam.experiment.report import render_runs
from medlarbeam.experiment.runner import run_scenario
from medlarbeam.experiment.scenario import list_scenarios

__all__ = ["Experiments", "main"]

EXIT_BAD_INPUT = 2

Scenario = Annotated[str, Arg(help="Name of a built-in scenario, or path of a scenario file.")]
Seed = Annotated[int, Arg(long="--seed", help="Seed of the random number generators.")]
DeploymentName = Annotated[
    str, Arg(long="--deployment", help="Name of the deployment: kebun-kira or totara-flame.")
]
Policy = Annotated[
    str, Arg(long="--policy", help="Comma-separated policies to replace by their naive version.")
]
Json = Annotated[bool, Arg(long="--json", help="Print JSON instead of a table.")]


@command(name="medlarbeam.experiment")
class Experiments:
    """Measure the effect of the policies of a node in simulated time."""

    __slots__ = ()

    @command(name="run")
    def run(
        self,
        scenario: Scenario,
        seed: Seed = 1,
        policy: Policy = "",
        deployment: DeploymentName = "kebun-kira",
        json: Json = False,
    ):
        """Run a scenario once."""
        return _print_runs(scenario, deployment, seed, [_parse_policies(policy)], json)

    @command(name="compare")
    def compare(
        self,
        scenario: Scenario,
        policy: Policy,
        seed: Seed = 1,
        deployment: DeploymentName = "kebun-kira",
        json: Json = False,
    ):
        """Run a scenario with the naive and the real version of policies and the same seed."""
        return _print_runs(scenario, deployment, seed, [_parse_policies(policy), []], json)

    @command(name="list")
    def list(self):
        """List the built-in scenarios."""
        print("\n".join(list_scenarios()))
        return 0


def _parse_policies(policy):
    names = [name for name in policy.split(",") if name]
    return list(POLICIES) if names == ["all"] else names


def _print_runs(scenario, deployment, seed, policy_sets, json):
    try:
        document = run_scenario(scenario, deployment, seed, policy_sets)
    except MedlarbeamError as error:
        print(f"medlarbeam.experiment: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    print(dumps(document).decode() if json else render_runs(document))
    return 0


def main(argv=None):
    """Run the command line and exit the process."""
    sys.exit(invoke(Experiments, argv=argv))


if __name__ == "__main__":
    main()
