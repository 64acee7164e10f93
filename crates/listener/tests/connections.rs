//! Which connection is closed when too many are open, and when a time limit is exceeded.

use std::time::Duration;

use lacewingrail_listener::limits::{ANSWER_TIMEOUT, HEAD_TIMEOUT, IDLE_TIMEOUT};
use lacewingrail_listener::{
    ConnectionGuard, ConnectionTable, ListenerLimits, ListenerRole, ListenerState, RefusalReason,
};
use lacewingrail_model::ProcessResources;
use tokio::time::Instant;

/// Resources with which every listener gets its fewest connections, eight.
const FEWEST: ProcessResources = ProcessResources { memory_bytes: 1 << 20, descriptors: 0 };
const STEP: Duration = Duration::from_millis(10);

fn small_listener(role: ListenerRole) -> ListenerState {
    ListenerState::with_resources("test", &FEWEST, role)
}

/// Guards against limits that differ from those in docs/platform.md, or that add up to more than the
/// process has.
#[test]
fn limits_follow_from_the_resources() {
    let machine = |memory_mb: u64, descriptors| {
        let resources = ProcessResources { memory_bytes: memory_mb << 20, descriptors };
        [ListenerRole::Clients, ListenerRole::Peers, ListenerRole::Probes]
            .map(|role| ListenerLimits::derive(&resources, role).max_connections)
    };
    assert_eq!(machine(260, 4100), [616, 693, 38]);
    assert_eq!(machine(120, 3075), [284, 320, 17]);
    assert_eq!(machine(260, 400), [50, 36, 8]);
    assert_eq!(machine(0, 0), [8, 8, 8]);
    for memory_mb in [64, 120, 260, 1024, 65_536] {
        let resources = ProcessResources { memory_bytes: memory_mb << 20, descriptors: 4100 };
        let limits = |role| ListenerLimits::derive(&resources, role);
        let probes = limits(ListenerRole::Probes);
        let listeners =
            [limits(ListenerRole::Clients), limits(ListenerRole::Peers), probes, probes];
        let bytes = listeners.iter().map(|limits| limits.request_memory).sum::<u64>();
        assert!(bytes <= resources.memory_bytes / 6, "{bytes} bytes of requests");
        let connections = listeners.iter().map(|limits| limits.max_connections).sum::<usize>();
        assert!(connections as u64 <= (resources.descriptors - 200) / 2, "{connections}");
    }
}

/// Admits connections, some time apart.
async fn admit(table: &ConnectionTable, count: usize) -> Vec<ConnectionGuard> {
    let mut guards = Vec::new();
    for _ in 0..count {
        tokio::time::advance(STEP).await;
        guards.push(table.admit().await.expect("there is room"));
    }
    guards
}

/// Admits another connection to a full table, and returns the index of the one that is closed for
/// it; `None` if the new one is refused.
async fn evict(table: &ConnectionTable, guards: &mut Vec<ConnectionGuard>) -> Option<usize> {
    let admit = table.admit();
    tokio::pin!(admit);
    let closed = {
        let mut closed: Vec<_> = guards.iter().map(|guard| Box::pin(guard.closed())).collect();
        let any = std::future::poll_fn(move |context| {
            let index =
                closed.iter_mut().position(|closed| closed.as_mut().poll(context).is_ready());
            index.map_or(std::task::Poll::Pending, std::task::Poll::Ready)
        });
        tokio::select! {
            biased;
            refused = &mut admit => { assert!(refused.is_none()); None }
            index = any => Some(index),
        }
    };
    if let Some(index) = closed {
        drop(guards.remove(index));
        guards.push(admit.await.expect("there is room"));
    }
    closed
}

/// Answers a request without a body on a connection.
fn answer_request(guard: &ConnectionGuard) {
    guard.recorder().record_read();
    drop(guard.recorder().begin_request(false).expect("there is room for a request"));
}

/// Guards against newcomers that are turned away for connections that never complete a request.
#[tokio::test(start_paused = true)]
async fn the_oldest_unfinished_connection_goes_first() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let mut guards = admit(table, listener.limits().max_connections).await;
    answer_request(&guards[0]);
    let serving = guards[1].recorder().begin_request(false).expect("there is room");
    // Part of a body on an older connection is newer than the silence of the next one.
    let _receiving = guards[2].recorder().begin_request(true).expect("there is room");
    assert_eq!(evict(table, &mut guards).await, Some(3), "silent since it was accepted");
    assert_eq!(listener.refusals().total(RefusalReason::UnfinishedClosed), 1);
    drop(serving);
}

/// Guards against a client that sends single bytes to look busy.
#[tokio::test(start_paused = true)]
async fn bytes_without_a_request_buy_no_time() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let mut guards = admit(table, listener.limits().max_connections).await;
    guards[0].recorder().record_read();
    tokio::time::advance(STEP).await;
    guards[1].recorder().record_read();
    guards[0].recorder().record_read();
    guards[2..].iter().for_each(answer_request);
    assert_eq!(evict(table, &mut guards).await, Some(0));
}

/// Guards against callers with answers that lose their connections before the others.
#[tokio::test(start_paused = true)]
async fn idle_connections_go_last_and_the_longest_idle_first() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let mut guards = admit(table, listener.limits().max_connections).await;
    for guard in guards.iter().rev() {
        tokio::time::advance(STEP).await;
        answer_request(guard);
    }
    let last = guards.len() - 1;
    assert_eq!(evict(table, &mut guards).await, Some(last));
    assert_eq!(listener.refusals().total(RefusalReason::IdleClosed), 1);
    // The newcomer has no answer yet, so it goes before the idle ones.
    assert_eq!(evict(table, &mut guards).await, Some(last));
    assert_eq!(listener.refusals().total(RefusalReason::UnfinishedClosed), 1);
}

/// Guards against a whole request that is interrupted, and whose outcome nobody learns.
#[tokio::test(start_paused = true)]
async fn whole_requests_are_not_interrupted() {
    let listener = small_listener(ListenerRole::Peers);
    let table = listener.connections();
    let mut guards = admit(table, listener.limits().max_connections).await;
    let requests: Vec<_> =
        guards.iter().map(|guard| guard.recorder().begin_request(false)).collect();
    assert!(requests.iter().all(Result::is_ok));
    assert_eq!(evict(table, &mut guards).await, None);
    assert_eq!(listener.refusals().total(RefusalReason::ConnectionLimit), 1);
    drop(requests);
    assert_eq!(evict(table, &mut guards).await, Some(0));
}

/// Guards against requests that use up all connections, so that no other can be accepted.
#[tokio::test(start_paused = true)]
async fn requests_leave_room_for_new_connections() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let mut guards = admit(table, listener.limits().max_connections).await;
    let requests: Vec<_> =
        guards.iter().map(|guard| guard.recorder().begin_request(false)).collect();
    let refused = requests.iter().filter(|request| request.is_err()).count();
    assert_eq!(refused, listener.limits().max_connections - listener.limits().max_requests);
    assert!(refused > 0 && evict(table, &mut guards).await.is_some());
    drop(requests);
    assert!(guards[0].recorder().begin_request(false).is_ok(), "the ended requests count no more");
}

/// Guards against unfinished requests that keep whole ones out.
#[tokio::test(start_paused = true)]
async fn unfinished_requests_leave_room_for_whole_ones() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let guards = admit(table, listener.limits().max_connections).await;
    let (last, others) = guards.split_last().expect("several connections");
    let _unfinished: Vec<_> =
        others.iter().map(|guard| guard.recorder().begin_request(true)).collect();
    assert!(last.recorder().begin_request(false).is_ok());
    assert_eq!(listener.refusals().total(RefusalReason::RequestLimit), 0);
}

/// Guards against a client that keeps a request in progress by not reading the answers before it.
#[tokio::test(start_paused = true)]
async fn unread_answers_do_not_protect_a_connection() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let mut guards = admit(table, listener.limits().max_connections).await;
    guards.iter().for_each(answer_request);
    let _serving = guards[4].recorder().begin_request(false).expect("there is room");
    guards[4].recorder().record_write(true);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(evict(table, &mut guards).await, Some(4));
}

/// Guards against time limits that are not enforced, or that meet other connections.
#[tokio::test(start_paused = true)]
async fn time_limits_close_only_what_exceeds_them() {
    let listener = small_listener(ListenerRole::Clients);
    let table = listener.connections();
    let guards = admit(table, 4).await;
    let [silent, half_head, unread, serving] = &guards[..] else { unreachable!() };
    half_head.recorder().record_read();
    unread.recorder().record_write(true);
    let _request = serving.recorder().begin_request(false).expect("there is room");
    let counts = || {
        [RefusalReason::HeadTimeout, RefusalReason::AnswerTimeout, RefusalReason::IdleTimeout]
            .map(|reason| listener.refusals().total(reason))
    };
    let start = Instant::now();
    table.close_overdue(start + HEAD_TIMEOUT.min(ANSWER_TIMEOUT));
    assert_eq!(counts(), [0, 0, 0]);
    table.close_overdue(start + HEAD_TIMEOUT.max(ANSWER_TIMEOUT) + STEP);
    assert_eq!(counts(), [1, 1, 0]);
    half_head.closed().await;
    unread.closed().await;
    table.close_overdue(start + IDLE_TIMEOUT + STEP);
    assert_eq!(counts(), [1, 1, 1]);
    silent.closed().await;
}

/// Guards against idle connections of peers that are closed while a call is on its way.
#[tokio::test(start_paused = true)]
async fn idle_peers_keep_their_connections() {
    let listener = small_listener(ListenerRole::Peers);
    let table = listener.connections();
    let guards = admit(table, 2).await;
    answer_request(&guards[0]);
    guards[0].recorder().set_multiplexed();
    guards[0].recorder().record_read();
    table.close_overdue(Instant::now() + IDLE_TIMEOUT * 100);
    assert_eq!(listener.refusals().total(RefusalReason::IdleTimeout), 1, "the one without a call");
    assert_eq!(listener.refusals().total(RefusalReason::HeadTimeout), 0);
}
