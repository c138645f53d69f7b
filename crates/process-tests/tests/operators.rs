//! Checks operator queries and configuration changes, including conflicting changes and failures of
//! the key-value service.

use std::collections::BTreeSet;

use eyre::{ContextCompat, Result, bail, ensure};
use ponddrift_core::configuration::{
    CONFIGURATION_PREFIX, StoredEntry, StoredLatestChange, snapshot_from_entries,
};
use ponddrift_core::{Execution, MachineId, Revision};
use ponddrift_engine::wire::headers::REQUEST_ID;
use ponddrift_http::ProblemKind;
use ponddrift_platform::store::KeyValueStore;
use ponddrift_process_tests::answers::read_completion_text;
use ponddrift_process_tests::fleet::{Fleet, FleetSize};
use ponddrift_process_tests::operators::ApplyOutcome;
use ponddrift_process_tests::wait::eventually;
use ponddrift_query::Value;
use rustix::process::Signal;
use serde_json::json;

const REVISION_QUERY: &str = "SELECT revision FROM services WHERE name = 'reconcile'";
const DEADLINE_QUERY: &str = "SELECT deadline_ms FROM services WHERE name = 'reconcile'";

async fn fleet(daemons: u32) -> Result<Fleet> {
    let fleet = Fleet::start(FleetSize {
        daemons,
        engines: 2,
        records: 1,
    })
    .await?;
    for index in 0..fleet.daemons.len() {
        eventually("each daemon knows the others", || async {
            let rows = fleet.rows(index, "SELECT daemon FROM configuration").await;
            (rows.ok()?.len() == fleet.daemons.len()).then_some(())
        })
        .await?;
    }
    Ok(fleet)
}

async fn stored_head(fleet: &Fleet) -> Result<StoredLatestChange> {
    let range = fleet.store()?.range(CONFIGURATION_PREFIX).await?;
    let mut entries = Vec::new();
    for value in range.values {
        entries.push(StoredEntry {
            key: value.key,
            value_json: String::from_utf8(value.value.to_vec())?,
            mod_revision: value.mod_revision,
        });
    }
    let (_configuration, latest) = snapshot_from_entries(&entries)?;
    latest.wrap_err("a head")
}

async fn number(fleet: &Fleet, index: usize, sql: &str) -> Result<i64> {
    match fleet.rows(index, sql).await?.as_slice() {
        [row] => match row.as_slice() {
            [Value::Integer(number)] => Ok(*number),
            other => bail!("{sql}: {other:?}"),
        },
        other => bail!("{sql}: {} rows", other.len()),
    }
}

#[tokio::test]
async fn an_operator_sees_what_runs_where_and_why() -> Result<()> {
    let fleet = fleet(2).await?;
    eventually("both engines are known", || async {
        let sql = "SELECT id FROM engines WHERE state = 'live' AND role = 'mixed' AND model = 'ledger' AND running = 0 ORDER BY id";
        let rows = fleet.rows(0, sql).await.ok()?;
        (rows == [[Value::Integer(100)], [Value::Integer(101)]]).then_some(())
    })
    .await?;
    let back_ends = fleet
        .rows(0, "SELECT id, pool, state FROM back_ends")
        .await?;
    let expected = [[Value::Integer(300), "records".into(), "live".into()]];
    assert_eq!(back_ends, expected);
    let daemons = fleet.rows(
        1,
        "SELECT id FROM daemons WHERE state = 'alive' ORDER BY id",
    );
    assert_eq!(daemons.await?, [[Value::Integer(1)], [Value::Integer(2)]]);
    let cells = fleet.rows(1, "SELECT name, engines FROM cells").await?;
    assert_eq!(cells, [["central-1".into(), Value::Integer(2)]]);

    let completion = json!({"model": "reconcile", "prompt": "why there", "max_tokens": 3});
    let response = fleet.complete(0, &completion).await?;
    let request_id = response.headers()[REQUEST_ID].to_str()?.to_owned();
    read_completion_text(response).await?;
    // Sent to the other daemon, which must collect decisions from all daemons.
    let sql = format!(
        "SELECT daemon, kind, outcome, reason FROM decisions WHERE subject = '{request_id}'"
    );
    let answer = fleet.query(1, &sql).await?;
    assert_eq!(answer.missing, []);
    let [row] = answer.result.rows.as_slice() else {
        bail!("one placement, not {:?}", answer.result.rows);
    };
    assert_eq!(row[0], Value::Integer(1));
    assert_eq!(row[1], "placement".into());
    assert!(row[2].to_string().starts_with("back end 10"), "{}", row[2]);
    assert!(row[3].to_string().contains("eligible"), "{}", row[3]);
    Ok(())
}

#[tokio::test]
async fn a_running_request_is_listed_until_it_ends() -> Result<()> {
    let fleet = fleet(1).await?;
    let completion = json!({
        "model": "reconcile", "prompt": "a long answer", "max_tokens": 20_000, "stream": true,
    });
    let response = fleet.complete(0, &completion).await?;
    let request_id = response.headers()[REQUEST_ID].to_str()?.to_owned();
    let sql =
        "SELECT id, service, priority, state, attempts FROM requests WHERE back_end IS NOT NULL";
    let rows = fleet.rows(0, sql).await?;
    let expected = [[
        request_id.into(),
        "reconcile".into(),
        "high".into(),
        "running".into(),
        Value::Integer(1),
    ]];
    assert_eq!(rows, expected);
    drop(response);
    eventually("a request that its caller left is gone", || async {
        let rows = fleet.rows(0, "SELECT id FROM requests").await.ok()?;
        rows.is_empty().then_some(())
    })
    .await
}

#[tokio::test]
async fn a_query_names_daemons_that_do_not_respond() -> Result<()> {
    let fleet = fleet(3).await?;
    fleet.daemons[2].freeze().await?;
    let sql = "SELECT daemon, COUNT(*) FROM decisions GROUP BY daemon ORDER BY daemon";
    let answer = fleet.query(0, sql).await?;
    fleet.daemons[2].signal(Signal::CONT)?;
    let missing = answer.missing.iter().map(|part| part.daemon);
    assert_eq!(missing.collect::<Vec<_>>(), [MachineId(3)]);
    let answered = answer.result.rows.iter().map(|row| row[0].clone());
    let answered: Vec<Value> = answered.collect();
    assert_eq!(answered, [Value::Integer(1), Value::Integer(2)]);
    Ok(())
}

#[tokio::test]
async fn of_two_conflicting_changes_one_is_refused_with_the_author_of_the_other() -> Result<()> {
    let fleet = fleet(2).await?;
    for round in 0..5_u32 {
        let revision = number(&fleet, 0, REVISION_QUERY).await?;
        let statement = |deadline_ms: u32| {
            format!(
                "UPDATE services SET deadline_ms = {deadline_ms} WHERE name = 'reconcile' AND revision = {revision}"
            )
        };
        let (first, second) = (statement(10_000 + round), statement(20_000 + round));
        let (first, second) = tokio::join!(
            fleet.apply(0, "hana", &first),
            fleet.apply(1, "jun", &second)
        );
        let (winner, loser, wanted) = match (first?, second?) {
            (ApplyOutcome::Accepted(_), ApplyOutcome::Refused(problem)) => {
                ("hana", problem, 10_000 + round)
            }
            (ApplyOutcome::Refused(problem), ApplyOutcome::Accepted(_)) => {
                ("jun", problem, 20_000 + round)
            }
            other => bail!("not one winner: {other:?}"),
        };
        assert_eq!(loser.kind, ProblemKind::Conflict);
        assert_eq!(loser.execution, Execution::NotStarted);
        let told = loser.detail.contains(&format!("changed by {winner}"));
        assert!(told, "{}", loser.detail);
        for index in 0..2 {
            let deadline = number(&fleet, index, DEADLINE_QUERY).await?;
            assert_eq!(deadline, i64::from(wanted));
        }
    }
    Ok(())
}

#[tokio::test]
async fn changes_of_different_rows_at_the_same_time_are_all_accepted() -> Result<()> {
    let fleet = fleet(2).await?;
    let insert = |name: &str| {
        format!(
            "INSERT INTO tenants (name, requests_per_second, concurrency, tokens_per_second, weight) VALUES ('{name}', 5, 0, 0, 1)"
        )
    };
    let (first, second, third) = (insert("firm-1"), insert("firm-2"), insert("firm-3"));
    let (first, second, third) = tokio::join!(
        fleet.apply(0, "hana", &first),
        fleet.apply(1, "jun", &second),
        fleet.apply(1, "mina", &third),
    );
    let mut revisions = BTreeSet::new();
    for applied in [first?, second?, third?] {
        let answer = applied.accepted()?;
        assert_eq!((answer.in_force, answer.live), (2, 2));
        revisions.insert(answer.revision);
    }
    assert_eq!(revisions.len(), 3);
    let names = fleet.rows(0, "SELECT name FROM tenants ORDER BY name");
    let expected = ["firm-1", "firm-2", "firm-3"].map(|name| vec![Value::from(name)]);
    assert_eq!(names.await?, expected);
    Ok(())
}

#[tokio::test]
async fn a_change_is_in_force_on_all_daemons_when_it_is_answered() -> Result<()> {
    let fleet = fleet(3).await?;
    let statement = "UPDATE services SET deadline_ms = 12345 WHERE name = 'reconcile'";
    let answer = fleet.apply(1, "hana", statement).await?.accepted()?;
    assert_eq!((answer.in_force, answer.live), (3, 3));
    assert_eq!(answer.not_yet_in_force, []);
    for index in 0..3 {
        assert_eq!(number(&fleet, index, DEADLINE_QUERY).await?, 12_345);
    }
    let behind = "SELECT daemon, revision FROM configuration WHERE current = false";
    let behind = fleet.rows(1, behind).await?;
    assert!(behind.is_empty(), "{behind:?}");
    let why = "SELECT outcome, reason FROM decisions WHERE subject = 'service reconcile by hana'";
    let why = fleet.rows(0, why).await?;
    let outcome = format!("accepted at revision {}", answer.revision);
    assert_eq!(why, [[Value::from(outcome), statement.into()]]);
    Ok(())
}

#[tokio::test]
async fn a_change_names_daemons_where_it_is_not_yet_in_force() -> Result<()> {
    let fleet = fleet(3).await?;
    fleet.daemons[2].freeze().await?;
    let statement = "UPDATE services SET deadline_ms = 12345 WHERE name = 'reconcile'";
    let answer = fleet.apply_with_wait(0, "hana", statement, 500).await?;
    let answer = answer.accepted()?;
    fleet.daemons[2].signal(Signal::CONT)?;
    assert_eq!(answer.not_yet_in_force, [MachineId(3)], "{answer:?}");
    assert_eq!((answer.in_force, answer.live), (2, 3));
    eventually("the daemon that was frozen takes the change", || async {
        let deadline = number(&fleet, 2, DEADLINE_QUERY).await.ok()?;
        (deadline == 12_345).then_some(())
    })
    .await
}

#[tokio::test]
async fn an_invalid_change_is_refused_completely_with_a_remedy() -> Result<()> {
    let fleet = fleet(1).await?;
    let before = stored_head(&fleet).await?;
    let cases = [
        (
            "UPDATE services SET model = 'nobody' WHERE name = 'reconcile'",
            "add the model first",
        ),
        (
            "UPDATE services SET deadline_ms = 1, rollout_percent = 0 WHERE name = 'reconcile'",
            "use 1 to 100",
        ),
        (
            "UPDATE services SET pool = 'nowhere' WHERE name = 'records'",
            "add machines to the machine list",
        ),
        (
            "DELETE FROM models WHERE name = 'ledger'",
            "add the model first",
        ),
        (
            "INSERT INTO pins (engine, role) VALUES (7, 'decode')",
            "correct the number",
        ),
        (
            "UPDATE services SET deadline_ms = 99 WHERE name = 'absent'",
            "use INSERT",
        ),
        (
            "INSERT INTO priorities (name, level) VALUES ('high', 1)",
            "use UPDATE",
        ),
        ("SELECT * FROM services", "POST /v1/query"),
        (
            "UPDATE engines SET role = 'decode' WHERE id = 100",
            "change one of services",
        ),
    ];
    for (statement, remedy) in cases {
        let problem = fleet.apply(0, "hana", statement).await?.refused()?;
        assert_eq!(problem.kind, ProblemKind::Refused, "{statement}");
        assert_eq!(problem.execution, Execution::NotStarted, "{statement}");
        assert!(
            problem.detail.contains(remedy),
            "{statement}: {}",
            problem.detail
        );
    }
    assert_eq!(stored_head(&fleet).await?, before);
    Ok(())
}

#[tokio::test]
async fn an_outage_of_the_store_refuses_a_change_and_says_that_nothing_changed() -> Result<()> {
    let fleet = fleet(2).await?;
    let before = stored_head(&fleet).await?;
    let statement = "UPDATE services SET deadline_ms = 12345 WHERE name = 'reconcile'";
    let faults = [
        json!({"outage": "refuse"}),
        json!({"outage": "drop"}),
        json!({"rate_limit": {"per_second": 0.0, "burst": 0.0}}),
    ];
    for fault in faults {
        fleet.set_store_faults(&fault).await?;
        let problem = fleet.apply(0, "hana", statement).await?.refused()?;
        assert_eq!(problem.kind, ProblemKind::StoreUnavailable, "{fault}");
        assert_eq!(problem.execution, Execution::NotStarted, "{fault}");
        assert!(
            problem.detail.contains("not accepted"),
            "{}",
            problem.detail
        );
        // Queries still work because they do not use the store.
        assert_eq!(number(&fleet, 1, DEADLINE_QUERY).await?, 60_000);
    }
    fleet.clear_store_faults().await?;
    assert_eq!(stored_head(&fleet).await?, before);
    let answer = fleet.apply(0, "hana", statement).await?.accepted()?;
    assert_eq!(answer.in_force, 2);
    Ok(())
}

#[tokio::test]
async fn a_change_whose_answer_is_lost_is_accepted_exactly_once() -> Result<()> {
    let fleet = fleet(2).await?;
    for round in 0..3 {
        let before = stored_head(&fleet).await?;
        fleet
            .set_store_faults(&json!({"lost_answers": {"next": 1}}))
            .await?;
        let statement = format!(
            "UPDATE services SET deadline_ms = {} WHERE name = 'reconcile' AND revision = {}",
            30_000 + round,
            number(&fleet, 0, REVISION_QUERY).await?
        );
        let answer = fleet.apply(0, "hana", &statement).await?.accepted()?;
        let after = stored_head(&fleet).await?;
        // Exactly one change was stored since `before`, and it is this one.
        ensure!(
            after.latest.previous == before.revision,
            "more than one change"
        );
        assert_eq!(after.latest.change, answer.change);
        assert_eq!(after.revision, answer.revision);
        let row = u64::try_from(number(&fleet, 1, REVISION_QUERY).await?)?;
        assert_eq!(Revision(row), answer.revision);
    }
    Ok(())
}
