"""Runs of scenarios and their documents."""

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
        The naive policies of each run; an empty list is the daemon's policies.

    Returns
    -------
    dict
        JSON document.

    Raises
    ------
    FormatError
        The scenario, the deployment or a policy is wrong.
    """
    if deployment not in DEPLOYMENTS:
        raise FormatError(f"deployment {deployment!r}: expected one of {', '.join(DEPLOYMENTS)}")
    scenario = load_scenario(name)
    runs = []
    for naive in policy_sets:
        parts = build_policy_parts(naive)
        measures = Experiment(scenario, DEPLOYMENTS[deployment], seed, parts).run()
        label = "naive " + "+".join(naive) if naive else "real"
        runs.append({"policies": label, **measures.document(scenario.measure_s)})
    return {"scenario": scenario.name, "deployment": deployment, "seed": seed, "runs": runs}
