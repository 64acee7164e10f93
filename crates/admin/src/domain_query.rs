//! Queries to the active schedulers of failure domains.

use std::time::Duration;

use lacewingrail_model::DomainName;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};
use tokio::task::JoinSet;

use crate::SharedState;

/// Timeout of a query to the active scheduler of one failure domain.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries the active scheduler of one failure domain; a timeout is returned as a refusal.
pub(crate) async fn query_domain(
    state: &SharedState,
    domain: &DomainName,
    query: DomainQuery,
) -> DomainAnswer {
    match tokio::time::timeout(QUERY_TIMEOUT, state.context.query_domain(domain, query)).await {
        Ok(answer) => answer,
        Err(_) => DomainAnswer::Refused(format!(
            "the scheduler of {domain} did not answer within 2 s; check its processes"
        )),
    }
}

/// Queries several failure domains concurrently and returns the answers sorted by domain name.
pub(crate) async fn query_domains(
    state: &SharedState,
    domains: Vec<DomainName>,
    query: &DomainQuery,
) -> Vec<(DomainName, DomainAnswer)> {
    let mut tasks = JoinSet::new();
    for domain in domains {
        let (state, query) = (state.clone(), query.clone());
        tasks.spawn(async move {
            let answer = query_domain(&state, &domain, query).await;
            (domain, answer)
        });
    }
    let mut answers = tasks.join_all().await;
    answers.sort_by(|left, right| left.0.cmp(&right.0));
    answers
}

/// Returns the names of all configured failure domains.
pub(crate) fn all_domains(state: &SharedState) -> Vec<DomainName> {
    state.context.config().domains.keys().cloned().collect()
}

/// Returns the error text, with the domain as prefix, for a refusal or an answer of the wrong kind.
pub(crate) fn describe_error(domain: &str, answer: DomainAnswer) -> String {
    match answer {
        DomainAnswer::Refused(cause) => format!("{domain}: {cause}"),
        _ => format!("{domain}: the answer does not fit the question; check the versions"),
    }
}
