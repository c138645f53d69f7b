//! Checks that a request over a tenant's rate limit is rejected without being started, with a
//! `Retry-After` header.

use eyre::Result;
use http::{Request, StatusCode, header};
use ponddrift_core::Execution;
use ponddrift_core::configuration::{ChangeStep, ConfigurationItem, TenantSettings};
use ponddrift_engine::wire::headers::REQUEST_ID;
use ponddrift_http::body;
use ponddrift_process_tests::answers::read_problem;
use ponddrift_process_tests::fleet::{Fleet, FleetSize};
use ponddrift_process_tests::wait::eventually;

async fn get_record(fleet: &Fleet, tenant: &str) -> Result<http::Response<hyper::body::Incoming>> {
    let gateway = fleet.gateway(0)?;
    let request = Request::get(format!("http://{gateway}/services/records/probes/1"))
        .header("x-tenant", tenant)
        .body(body::empty())?;
    fleet.send(request).await
}

#[tokio::test]
async fn a_tenant_over_its_rate_is_refused_and_others_are_not() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 0,
        records: 1,
    })
    .await?;
    let settings = TenantSettings {
        requests_per_second: 1,
        concurrency: 0,
        tokens_per_second: 0,
        weight: 1,
    };
    let tenant = ConfigurationItem::Tenant {
        name: "limited".parse()?,
        settings,
    };
    fleet.change(vec![ChangeStep::Insert(tenant)]).await?;
    let refused = eventually("the limit is in force", || async {
        let response = get_record(&fleet, "limited").await.ok()?;
        (response.status() == StatusCode::TOO_MANY_REQUESTS).then_some(response)
    })
    .await?;
    assert!(refused.headers().contains_key(header::RETRY_AFTER));
    let request_id = refused.headers()[REQUEST_ID].to_str()?.to_owned();
    let problem = read_problem(refused).await?;
    assert_eq!(problem.execution, Execution::NotStarted);
    assert_eq!(fleet.runs_of_request(&request_id).await?.started, 0);
    for _ in 0..20 {
        assert_eq!(get_record(&fleet, "free").await?.status(), StatusCode::OK);
    }
    Ok(())
}
