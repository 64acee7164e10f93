//! Memory of requests: whose charge is taken back when it is used up.

use std::collections::BTreeMap;

use lacewingrail_listener::limits::BODY_TIMEOUT;
use lacewingrail_listener::{BodyBuffer, MemoryBudget, MemoryCharge, RefusalReason};
use proptest::prelude::*;
use tokio::time::Instant;

const CAPACITY: u64 = 1000;

fn budget() -> MemoryBudget {
    MemoryBudget::new(CAPACITY, Default::default())
}

fn charged(budget: &MemoryBudget, bytes: u64) -> MemoryCharge {
    let charge = budget.begin();
    charge.resize(bytes).expect("there is room");
    charge
}

/// Guards against a crowd that keeps all memory by never completing a body.
#[tokio::test]
async fn the_oldest_incomplete_body_goes_first() {
    let budget = budget();
    let complete = charged(&budget, 300);
    complete.complete().expect("nothing was taken back");
    let oldest = charged(&budget, 300);
    let younger = charged(&budget, 300);
    let newest = charged(&budget, 300);
    assert_eq!(oldest.revoked().await, RefusalReason::MemoryLimit);
    assert_eq!(oldest.complete(), Err(RefusalReason::MemoryLimit));
    assert_eq!(oldest.resize(1), Err(RefusalReason::MemoryLimit));
    assert_eq!(budget.used(), 900);
    for charge in [&complete, &younger, &newest] {
        assert_eq!(charge.complete(), Ok(()));
    }
    // Only whole requests are left, so a newcomer is refused.
    assert_eq!(budget.begin().resize(300), Err(RefusalReason::MemoryLimit));
    drop((complete, oldest, younger, newest));
    assert_eq!(budget.used(), 0);
}

/// Guards against a limit that refuses a single request in calm.
#[test]
fn a_request_that_is_alone_is_charged_any_amount() {
    let budget = budget();
    let alone = charged(&budget, CAPACITY * 5);
    alone.complete().expect("nothing was taken back");
    assert_eq!(budget.begin().resize(1), Err(RefusalReason::MemoryLimit));
    drop(alone);
    assert!(budget.begin().resize(1).is_ok());
}

/// Guards against large requests that wait to be answered, and keep ordinary ones out meanwhile.
#[test]
fn large_requests_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(1 << 20, Default::default());
    let large: Vec<_> = (0..10).map(|_| budget.begin()).collect();
    let admitted = large
        .iter()
        .filter(|charge| charge.resize(100 << 10).and_then(|()| charge.complete()).is_ok())
        .count();
    assert_eq!(admitted, 7, "three quarters of 1 MB");
    for _ in 0..10 {
        let small = charged(&budget, 10 << 10);
        assert_eq!(small.complete(), Ok(()));
    }
}

/// Guards against bodies that stop short and keep their memory in calm, for good.
#[tokio::test(start_paused = true)]
async fn overdue_bodies_give_their_memory_back() {
    let budget = budget();
    let (slow, complete) = (charged(&budget, 10), charged(&budget, 20));
    complete.complete().expect("nothing was taken back");
    budget.revoke_overdue(Instant::now() + BODY_TIMEOUT);
    assert_eq!(budget.used(), 30);
    budget.revoke_overdue(Instant::now() + BODY_TIMEOUT * 2);
    assert_eq!(slow.revoked().await, RefusalReason::BodyTimeout);
    assert_eq!(budget.used(), 20);
}

/// Guards against memory that a client reserves by declaring a length.
#[test]
fn a_declared_length_costs_nothing_before_bytes_arrive() {
    let budget = budget();
    let mut buffer = BodyBuffer::new(budget.begin(), 500);
    assert_eq!(buffer.expect(Some(501)), Err(RefusalReason::BodyLimit));
    buffer.expect(Some(500)).expect("the length is allowed");
    assert_eq!(budget.used(), 0);
    for _ in 0..500 {
        buffer.push(b"x").expect("there is room");
        assert!(budget.used() <= 500, "no more than the declared length");
    }
    assert_eq!(buffer.push(b"x"), Err(RefusalReason::BodyLimit));
}

/// Step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum BudgetStep {
    Begin,
    Grow { index: usize, bytes: u64 },
    Complete { index: usize },
    End { index: usize },
}

fn any_step() -> impl Strategy<Value = BudgetStep> {
    prop_oneof![
        2 => Just(BudgetStep::Begin),
        6 => (0..8_usize, 0..1500_u64).prop_map(|(index, bytes)| BudgetStep::Grow { index, bytes }),
        2 => (0..8_usize).prop_map(|index| BudgetStep::Complete { index }),
        1 => (0..8_usize).prop_map(|index| BudgetStep::End { index }),
    ]
}

proptest! {
    /// Guards against a sum over the capacity while several requests share it, and against charges
    /// that are counted twice or never given back.
    #[test]
    fn charges_add_up(steps in prop::collection::vec(any_step(), 0..200)) {
        let budget = budget();
        let mut charges: BTreeMap<usize, (MemoryCharge, u64)> = BTreeMap::new();
        let key = |charges: &BTreeMap<usize, (MemoryCharge, u64)>, index: usize| {
            charges.keys().nth(index).copied()
        };
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                BudgetStep::Begin => {
                    charges.insert(number, (budget.begin(), 0));
                }
                BudgetStep::Grow { index, bytes } => {
                    let Some(key) = key(&charges, index) else { continue };
                    let (charge, held) = charges.get_mut(&key).expect("the key exists");
                    *held = if charge.resize(bytes).is_ok() { bytes } else { 0 };
                }
                BudgetStep::Complete { index } => {
                    let Some(key) = key(&charges, index) else { continue };
                    let _ = charges[&key].0.complete();
                }
                BudgetStep::End { index } => {
                    key(&charges, index).and_then(|key| charges.remove(&key));
                }
            }
            // Resizing a charge to what it holds changes nothing, and shows whether it was taken back.
            for (charge, held) in charges.values_mut() {
                *held = if charge.resize(*held).is_ok() { *held } else { 0 };
            }
            let held: u64 = charges.values().map(|(_, held)| *held).sum();
            prop_assert_eq!(budget.used(), held);
            let holders = charges.values().filter(|(_, held)| *held > 0).count();
            prop_assert!(held <= CAPACITY || holders <= 1, "{holders} requests hold {held}");
        }
        charges.clear();
        prop_assert_eq!(budget.used(), 0);
    }
}
