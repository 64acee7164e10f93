//! Property test of submissions and cancellations: clients leave, call again and cancel while writes
//! are lost, late and out of order.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::{MemoryStore, StoreFaults};
use lacewingrail_fleet::{JobKey, JobSpec, JobSubmission};
use lacewingrail_instance::input_store::{InputStore, SubmissionOutcome};
use lacewingrail_instance::records::{cancel_key, job_key};
use lacewingrail_instance::store_health::MonitoredStore;
use lacewingrail_model::store::KeyValueService;
use proptest::prelude::*;

/// Number of jobs that a sequence of calls names.
const JOBS: JobKey = 3;
/// Maximum number of calls in a sequence.
const MAX_CALLS: usize = 25;
/// Maximum time until a late write takes effect.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(12);

/// Call of a client.
#[derive(Clone, Copy, Debug)]
enum ClientCall {
    Submit,
    Cancel,
}

/// What becomes of the next writes.
#[derive(Clone, Copy, Debug)]
enum WriteFate {
    Answered,
    AnswerLost,
    RequestLost,
    Late,
}

/// Call of a client to one of the instances, which all use the same store.
#[derive(Clone, Debug)]
struct CallStep {
    call: ClientCall,
    job: JobKey,
    /// What becomes of the call's writes.
    fate: WriteFate,
    /// Number of writes that this holds for.
    writes: u32,
    /// Time until late writes take effect.
    write_delay: Duration,
    /// Time that every call to the store takes.
    latency: Duration,
    /// Time after which the client leaves.
    patience: Duration,
    /// Time until the next call.
    pause: Duration,
}

/// What clients were told.
#[derive(Debug, Default)]
struct ClientView {
    /// Jobs with an acknowledged submission.
    accepted: BTreeSet<JobKey>,
    /// Jobs with an acknowledged cancellation.
    cancelled: BTreeSet<JobKey>,
    /// Jobs that must never be stored: their submission was refused for good, or they were not stored
    /// when their cancellation was acknowledged.
    excluded: BTreeSet<JobKey>,
    /// Jobs with a submission that was not refused.
    submitted: BTreeSet<JobKey>,
}

fn any_step() -> impl Strategy<Value = CallStep> {
    let fate = prop_oneof![
        3 => Just(WriteFate::Answered),
        1 => Just(WriteFate::AnswerLost),
        1 => Just(WriteFate::RequestLost),
        3 => Just(WriteFate::Late),
    ];
    let call = prop_oneof![Just(ClientCall::Submit), Just(ClientCall::Cancel)];
    let millis = |range: std::ops::Range<u64>| range.prop_map(Duration::from_millis);
    let times = (1..6_u32, millis(0..12_000), millis(0..200), millis(1..1000), millis(0..3000));
    (call, 0..JOBS, fate, times).prop_map(|(call, job, fate, times)| {
        let (writes, write_delay, latency, patience, pause) = times;
        CallStep { call, job, fate, writes, write_delay, latency, patience, pause }
    })
}

fn faults(step: &CallStep) -> StoreFaults {
    let slow = StoreFaults::slow(step.latency);
    match step.fate {
        WriteFate::Answered => slow,
        WriteFate::AnswerLost => StoreFaults { lost_answers: step.writes, ..slow },
        WriteFate::RequestLost => StoreFaults { lost_requests: step.writes, ..slow },
        WriteFate::Late => {
            let late = StoreFaults::late_writes(step.writes, step.write_delay);
            StoreFaults { delay_ms: slow.delay_ms, ..late }
        }
    }
}

fn submission(key: JobKey) -> JobSubmission {
    JobSubmission {
        key,
        queue: "normal".to_owned(),
        customer: "families".to_owned(),
        spec: JobSpec { payload: "work".to_owned(), steps: Vec::new(), schedule: None },
        accepted_unix_ms: 0,
    }
}

impl ClientView {
    /// Makes a call and records what its client is told; the client may leave before the answer.
    async fn make_call(&mut self, inputs: &InputStore, store: &MemoryStore, step: &CallStep) {
        let job = step.job;
        match step.call {
            ClientCall::Submit => {
                let submission = submission(job);
                let answer = tokio::time::timeout(step.patience, inputs.submit(&submission)).await;
                self.record_submission(job, answer.unwrap_or(SubmissionOutcome::Unclear));
            }
            ClientCall::Cancel => {
                let answer = tokio::time::timeout(step.patience, inputs.cancel(job)).await;
                if matches!(answer, Ok(Ok(()))) {
                    self.cancelled.insert(job);
                    store.set_faults(StoreFaults::default());
                    if !inputs.contains(job).await.expect("the store answers") {
                        self.excluded.insert(job);
                    }
                }
            }
        }
    }

    fn record_submission(&mut self, job: JobKey, outcome: SubmissionOutcome) {
        match outcome {
            SubmissionOutcome::Created | SubmissionOutcome::Existing => {
                self.accepted.insert(job);
                self.submitted.insert(job);
            }
            SubmissionOutcome::Unclear => drop(self.submitted.insert(job)),
            SubmissionOutcome::Cancelled => drop(self.excluded.insert(job)),
            SubmissionOutcome::NotStored(_) => {}
        }
    }

    /// Checks what is stored against what clients were told.
    async fn check(&self, store: &MemoryStore) {
        for job in 0..JOBS {
            let job_entry = store.get(&job_key(job)).await.expect("the store answers");
            let cancellation = store.get(&cancel_key(job)).await.expect("the store answers");
            let (is_stored, is_cancelled) = (job_entry.is_some(), cancellation.is_some());
            assert!(is_cancelled || !self.cancelled.contains(&job), "UNASKED: {job} is cancelled");
            assert!(!is_stored || !self.excluded.contains(&job), "UNASKED: {job} comes late");
            assert!(is_stored || !self.accepted.contains(&job), "LOST: {job}");
            assert!(!is_stored || self.submitted.contains(&job), "REFUSED: {job} is stored");
        }
    }
}

/// Makes all calls, waits for late writes, and checks the store after every step.
async fn play(steps: Vec<CallStep>) {
    let store = MemoryStore::new();
    let inputs = InputStore::new(Arc::new(MonitoredStore::new(Arc::new(store.clone()))));
    let mut view = ClientView::default();
    for step in steps {
        store.set_faults(faults(&step));
        view.make_call(&inputs, &store, &step).await;
        store.set_faults(StoreFaults::default());
        tokio::time::sleep(step.pause).await;
        view.check(&store).await;
    }
    tokio::time::sleep(MAX_WRITE_DELAY).await;
    view.check(&store).await;
}

proptest! {
    /// A submission that takes effect late must neither undo an acknowledged cancellation nor make a
    /// refusal untrue (review case 8).
    #[test]
    fn late_writes_contradict_no_answer(
        steps in prop::collection::vec(any_step(), 1..MAX_CALLS)
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        runtime.block_on(play(steps));
    }
}
