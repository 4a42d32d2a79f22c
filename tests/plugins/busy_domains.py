"""A failure domain in which every team always has tasks waiting at every node."""

import random

import limited_domains

TEAMS = 160
TASKS_WAITING = 4


class BusyDomain:
    """Ends running tasks at random and submits one new task for each."""

    def __init__(self, domain: limited_domains.Domain):
        self.rng = random.Random(5)
        self.domain = domain
        self.started_count = 0
        for node in domain.nodes_by_name.values():
            self.submit_initial_tasks(node)

    def submit_initial_tasks(self, node: limited_domains.Node) -> None:
        for team in team_names():
            node.submit(TASKS_WAITING, team=team)

    def run(self, steps: int, submitted_each_step: int) -> None:
        for _ in range(steps):
            for _ in range(submitted_each_step):
                self.replace_random_task(self.rng.choice(list(self.domain.nodes_by_name.values())))
            self.domain.advance(1)

    def replace_random_task(self, node: limited_domains.Node) -> None:
        if node.running:
            self.started_count += 1
            index = self.rng.randrange(len(node.running))
            team = node.running[index].job.team
            node.end_task(index)
            node.submit(1, team=team)


def team_names() -> list[str]:
    return [f"service-{number:03}" for number in range(TEAMS)]
