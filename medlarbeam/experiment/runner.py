"""Runs scenarios and builds the documents of their results."""

from medlarbeam.exceptions import FormatError
from medlarbeam.experiment.deployment import DEPLOYMENTS
from medlarbeam.experiment.driver import Experiment
from medlarbeam.experiment.policies import build_policy_parts
from medlarbeam.experiment.scenario import load_scenario

__all__ = ["run_scenario"]


def run_scenario(name, deployment, seed, policy_sets):
    """Run a scenario once for each set of policies, with the same seed.

    Parameters
    ----------
    name : str
    deployment : str
    seed : int
    policy_sets : list of list of str
        Names of the naive policies of each run; an empty list means the policies of the daemon.

    Returns
    -------
    dict
        JSON document with the results of all runs.

    Raises
    ------
    FormatError
        If the scenario is invalid, or the deployment or a policy is unknown.
    """
    if deployment not in DEPLOYMENTS:
        raise FormatError(
            f"unknown deployment {deployment!r}: expected one of {', '.join(DEPLOYMENTS)}"
        )
    scenario = load_scenario(name)
    runs = []
    for naive_policies in policy_sets:
        parts = build_policy_parts(naive_policies)
        measurements = Experiment(scenario, DEPLOYMENTS[deployment], seed, parts).run()
        label = "naive " + "+".join(naive_policies) if naive_policies else "real"
        runs.append({"policies": label, **measurements.document(scenario.measure_s)})
    return {"scenario": scenario.name, "deployment": deployment, "seed": seed, "runs": runs}
