//! The homes of all groups, kept current as proxies join and leave.

use endivereach_core::directory::Vm;
use endivereach_core::home_table::HomeTable;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use proptest::prelude::*;

/// The connections that one server accepts, which allow the maximum number of homes.
const CONNECTIONS: u32 = 108;

fn vm(index: usize) -> Vm {
    Vm {
        name: format!("front-{index}").as_str().into(),
        region: "coast".into(),
        zone: format!("zone-{}", index % 5).as_str().into(),
        peer_addr: ([10, 0, 0, 1], 7440).into(),
        sql_addr: ([10, 0, 0, 1], 8784).into(),
        leaving: false,
    }
}

fn groups(count: usize) -> Vec<GroupName> {
    let name = |index| format!("group-{index}").as_str().into();
    (0..count).map(name).collect()
}

fn table(proxies: usize, group_count: usize) -> HomeTable {
    let mut table = HomeTable::default();
    for group in groups(group_count) {
        table.set_group(&group, CONNECTIONS);
    }
    table.set_members((0..proxies).map(vm).collect());
    table
}

fn assert_invariant(table: &HomeTable, group_count: usize) {
    for group in groups(group_count) {
        let expected = homes::homes(&group, table.members(), CONNECTIONS);
        let homes: Vec<&Vm> = table.homes(&group).iter().collect();
        assert_eq!(homes, expected, "{group}");
    }
}

/// Load: one proxy joins a fleet. The larger the fleet, the fewer groups it can become a home of.
#[test]
fn a_proxy_that_joins_costs_less_work_in_a_larger_fleet() {
    let computed = |proxies: usize| {
        let mut table = table(proxies, 200);
        let before = table.groups_computed();
        for joined in 0..20 {
            table.set_members((0..=proxies + joined).map(vm).collect());
        }
        table.groups_computed() - before
    };
    let (small, large) = (computed(100), computed(1_000));
    assert!(small <= 20 * 200 / 4, "{small} of 4,000 at 100 proxies");
    assert!(
        large <= small / 4,
        "{large} at 1,000 proxies, {small} at 100"
    );
}

/// Load: the promotion duty changes hands, which leaves the list of proxies as it is.
#[test]
fn the_same_list_costs_no_work() {
    let mut table = table(300, 20);
    let before = table.groups_computed();
    assert!(table.set_members((0..300).map(vm).collect()).is_empty());
    assert_eq!(table.groups_computed(), before);
}

proptest! {
    #[test]
    fn homes_are_those_of_a_full_computation(
        steps in prop::collection::vec((0_usize..40, any::<bool>(), any::<bool>()), 1..40)
    ) {
        let mut members: Vec<Vm> = (0..8).map(vm).collect();
        let mut table = table(8, 6);
        for (index, joins, leaving) in steps {
            members.retain(|member| member.name != vm(index).name);
            if joins {
                members.push(Vm { leaving, ..vm(index) });
            }
            table.set_members(members.clone());
            assert_invariant(&table, 6);
        }
    }
}
