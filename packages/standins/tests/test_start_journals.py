from chiveridge_standins import fleet_members, fleet_plans, fleets, start_journals


def test_reads_the_starts_of_every_target(tmp_path):
    first = start_journals.Start("a", "ikeja-t1", 1)
    second = start_journals.Start("b", "ikeja-t2", 2)
    start_journals.StartJournal(str(tmp_path), "ikeja-t1").write(first)
    start_journals.StartJournal(str(tmp_path), "ikeja-t2").write(second)
    assert start_journals.read_starts(tmp_path) == [first, second]


async def test_journaled_starts_survive_a_killed_target():
    domains = {"ikeja": fleet_plans.DomainPlan(node_count=0, target_count=1)}
    async with fleets.Fleet(fleet_plans.FleetPlan(domains=domains, journaled=True)) as fleet:
        for key in ("before", "after"):
            target = fleet.targets_by_name["ikeja-t1"]
            url = f"{target.url}/v1/leases/{key}"
            await fleet_members.send_request(target._session, "POST", url, {"key": key})
            await fleet.kill("ikeja-t1")
            await fleet.restart_target("ikeja-t1")
        assert [start.key for start in fleet.journaled_starts()] == ["before", "after"]
