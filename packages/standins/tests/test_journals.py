from chiveridge_standins import fleet_plans, fleets, journals, members


def test_reads_the_starts_of_every_target(tmp_path):
    first = journals.Start("a", "ikeja-t1", 1)
    second = journals.Start("b", "ikeja-t2", 2)
    journals.StartJournal(str(tmp_path), "ikeja-t1").write(first)
    journals.StartJournal(str(tmp_path), "ikeja-t2").write(second)
    assert journals.read_starts(tmp_path) == [first, second]


async def test_journaled_starts_survive_a_killed_target():
    domains = {"ikeja": fleet_plans.DomainPlan(node_count=0, target_count=1)}
    async with fleets.Fleet(fleet_plans.FleetPlan(domains=domains, journaled=True)) as fleet:
        for key in ("before", "after"):
            target = fleet.targets_by_name["ikeja-t1"]
            url = f"{target.url}/v1/leases/{key}"
            await members.send_request(target._session, "POST", url, {"key": key})
            await fleet.kill("ikeja-t1")
            await fleet.restart_target("ikeja-t1")
        assert [start.key for start in fleet.journaled_starts()] == ["before", "after"]
