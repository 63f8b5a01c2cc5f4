//! Machines that have said who they are, before the group is formed.

use peatgrade_schema::replication::Member;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of machines to remember, which bounds memory.
const MAX_MACHINES: usize = 1_024;

/// Replica and address of each machine, by name. Clones share the contents.
#[derive(Clone, Debug, Default)]
pub(super) struct IdentifiedMachines(Rc<RefCell<BTreeMap<String, (u64, String)>>>);

impl IdentifiedMachines {
    /// Records what a machine says of itself.
    pub fn record(&self, machine: &Member) {
        let mut machines = self.0.borrow_mut();
        if machines.len() < MAX_MACHINES || machines.contains_key(&machine.name) {
            let identity = (machine.replica, machine.address.clone());
            machines.insert(machine.name.clone(), identity);
        }
    }

    /// Whether the machine that is registered as `member` is there.
    pub fn contains(&self, member: &Member) -> bool {
        let machines = self.0.borrow();
        let identity = machines.get(&member.name);
        identity.is_some_and(|(replica, address)| {
            (*replica, address) == (member.replica, &member.address)
        })
    }
}
