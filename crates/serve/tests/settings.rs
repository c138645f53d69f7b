//! Settings: the rendered deployment template is valid, and all faults are reported at once.

use ponddrift_fleet::leadership::Fencing;
use ponddrift_serve::settings::check;

const TEMPLATE: &str = include_str!("../../../deploy/serve.toml.template");

/// Renders the template section `name`: its contents if the value is given, nothing otherwise.
fn render_section(text: &str, name: &str, is_given: bool) -> String {
    let (opening_tag, closing_tag) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let begin = text.find(&opening_tag).expect("the start of the section");
    let end = text.find(&closing_tag).expect("the end of the section");
    let contents = &text[begin + opening_tag.len()..end];
    let kept = if is_given { contents } else { "" };
    format!(
        "{}{kept}{}",
        &text[..begin],
        &text[end + closing_tag.len()..]
    )
}

/// Template values that a deployment may leave out.
const OPTIONAL_VALUES: [&str; 13] = [
    "bootstrap",
    "limits.memoryMb",
    "limits.maxFds",
    "limits.linkMbps",
    "platform.reads_per_s",
    "bounds.retryBudgetRatio",
    "bounds.budgetSlack",
    "bounds.leaseMs",
    "bounds.graceS",
    "bounds.fencingRequired",
    "cloud.address",
    "bounds.reportWindowS",
    "bounds.usageLateS",
];

/// Optional values that are booleans; their sections have an alternative for false.
const OPTIONAL_FLAGS: [&str; 2] = ["bootstrap", "bounds.fencingRequired"];

/// The template rendered with all optional values.
fn rendered_template() -> String {
    render_template(true)
}

fn render_sections(has_optional_values: bool) -> String {
    let replacement = if has_optional_values { "" } else { "false" };
    let text = OPTIONAL_FLAGS
        .iter()
        .fold(TEMPLATE.to_owned(), |text, flag| {
            let false_section = format!("{{{{^{flag}}}}}false{{{{/{flag}}}}}");
            assert!(text.contains(&false_section));
            text.replace(&false_section, replacement)
        });
    OPTIONAL_VALUES.iter().fold(text, |text, name| {
        render_section(&text, name, has_optional_values)
    })
}

fn render_template(has_optional_values: bool) -> String {
    let seeds = "seeds = [{{#seeds}}{{.|json}}{{,}}{{/seeds}}]";
    assert!(TEMPLATE.contains(seeds));
    [
        (seeds, "seeds = [\"10.1.0.35:8146\",\"10.2.0.28:8146\"]"),
        ("{{node|json}}", "\"frontend-a-1\""),
        ("{{zone|json}}", "\"a\""),
        ("{{listen.frontend|json}}", "\"10.1.0.35:8144\""),
        ("{{listen.readiness|json}}", "\"10.1.0.35:8140\""),
        ("{{ip}}", "10.1.0.35"),
        ("{{internalPorts.0}}", "7660"),
        ("{{platform.address|json}}", "\"10.200.1.7:8142\""),
        ("{{limits.linkMbps}}", "1000.0"),
        ("{{limits.memoryMb}}", "160"),
        ("{{limits.maxFds}}", "4100"),
        ("{{platform.reads_per_s}}", "2000"),
        ("{{bounds.retryBudgetRatio}}", "0.2"),
        ("{{bounds.budgetSlack}}", "54"),
        ("{{bounds.leaseMs}}", "3000"),
        ("{{bounds.graceS}}", "8"),
        ("{{cloud.address|json}}", "\"10.200.0.175:8763\""),
        ("{{cloud.duties}}", "usage_report,autoscale"),
        ("{{bounds.reportWindowS}}", "5"),
        ("{{bounds.usageLateS}}", "10"),
        (
            "{{contracts}}",
            if has_optional_values {
                "base,tenants,pressure"
            } else {
                ""
            },
        ),
    ]
    .iter()
    .fold(
        render_sections(has_optional_values),
        |text, (placeholder, value)| text.replace(placeholder, value),
    )
}

#[test]
fn the_rendered_template_is_valid_and_sets_the_limits_of_the_platform() {
    let text = rendered_template();
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    let settings = check(&text).expect("valid settings");
    assert_eq!(&*settings.name, "frontend-a-1");
    assert_eq!(settings.peers_address.to_string(), "10.1.0.35:7660");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.link_megabits_per_second, 1000);
    assert!((settings.retry_budget.slack - 54.0).abs() < f64::EPSILON);
    assert!(settings.stop.accept_period < settings.stop.exit_deadline);
    assert!(
        settings.stop.exit_deadline.as_secs_f64() < 8.0,
        "within the grace period"
    );
    assert_eq!(settings.fencing, Fencing::Checked);
    assert!(settings.is_first_start);
    let usage = settings.usage.expect("usage reports are enabled");
    let provider = settings.provider_address.expect("a provider address");
    assert_eq!(provider.to_string(), "10.200.0.175:8763");
    assert!(settings.capacity.is_some(), "engine orders are enabled");
    assert_eq!((usage.window.as_secs(), usage.due.as_secs()), (5, 10));
}

#[test]
fn usage_reports_and_engine_orders_are_enabled_only_if_the_provider_accepts_them() {
    let text = rendered_template().replace("usage_report,autoscale", "autoscale");
    assert_eq!(check(&text).expect("valid settings").usage, None);
    let text = rendered_template().replace("usage_report,autoscale", "usage_report");
    assert_eq!(check(&text).expect("valid settings").capacity, None);
    let text = rendered_template() + "\n[capacity]\nplanned = false\n";
    assert_eq!(check(&text).expect("valid settings").capacity, None);
    let text = rendered_template().replace("usage_report,autoscale", "autoscale, usage_report");
    assert!(check(&text).expect("valid settings").usage.is_some());
    let text = rendered_template().replace("fencing_checked = true", "fencing_checked = \"yes\"");
    let faults = check(&text).expect_err("invalid settings");
    assert_eq!(faults.0[0].key, "leader.fencing_checked");
}

#[test]
fn every_fault_is_reported_at_once_with_its_remedy() {
    let text = "[daemon]\nzone = 3\n[listen]\ncallers = \"localhost:1\"\n[stop]\ngrace_s = 0\n[retry]\nratio = 1\n";
    let faults = check(text).expect_err("invalid settings");
    let keys: Vec<&str> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    for key in [
        "daemon.name",
        "daemon.zone",
        "listen.callers",
        "listen.readiness",
        "listen.peers",
        "store.address",
        "stop.grace_s",
        "retry.ratio",
    ] {
        assert!(keys.contains(&key), "no fault for {key} in {keys:?}");
    }
    assert!(faults.0.iter().all(|fault| !fault.remedy.is_empty()));
}

#[test]
fn a_stop_longer_than_the_grace_period_is_a_fault() {
    let text = rendered_template().replace("grace_s = 8", "grace_s = 2");
    let faults = check(&text).expect_err("invalid settings");
    assert!(faults.0.iter().any(|fault| fault.key == "stop.accept_ms"));
}

#[test]
fn text_that_is_not_toml_is_one_fault() {
    assert_eq!(check("= 3").expect_err("invalid settings").0.len(), 1);
}

#[test]
fn a_deployment_without_optional_values_gets_the_defaults() {
    let text = render_template(false);
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    let settings = check(&text).expect("valid settings");
    assert!((settings.retry_budget.slack - 10.0).abs() < f64::EPSILON);
    assert_eq!(
        settings.fencing,
        Fencing::Ignored,
        "the platform sets it to false"
    );
    assert_eq!((settings.usage, settings.capacity), (None, None));
}

#[test]
fn engines_are_planned_by_forecast_only_where_the_deployment_names_pressure_or_asks_for_it() {
    let named = check(&rendered_template()).expect("valid settings");
    assert!(named.capacity_by_forecast);
    let without = rendered_template().replace("tenants,pressure", "tenants,pressures");
    let settings = check(&without).expect("valid settings");
    assert!(!settings.capacity_by_forecast, "the whole name counts");
    let settings = check(&render_template(false)).expect("valid settings");
    assert!(!settings.capacity_by_forecast);
    let off = rendered_template() + "\n[capacity]\nforecast = false\n";
    let settings = check(&off).expect("valid settings");
    assert!(
        !settings.capacity_by_forecast,
        "operators may switch it off"
    );
    let wrong = rendered_template() + "\n[capacity]\nforecast = \"yes\"\n";
    let faults = check(&wrong).expect_err("invalid settings");
    assert_eq!(faults.0[0].key, "capacity.forecast");
}

#[test]
fn limits_on_callers_follow_from_the_memory_and_descriptors_of_the_machine() {
    let limits = check(&rendered_template())
        .expect("valid settings")
        .intake_bounds;
    assert_eq!(limits.held_bytes, 40 << 20, "a quarter of 160 MB");
    assert_eq!(
        limits.connections, 1_706,
        "a quarter of 160 MB at 24 KiB each"
    );
    let larger = rendered_template().replace("memory_mb = 160", "memory_mb = 512");
    let limits = check(&larger).expect("valid settings").intake_bounds;
    assert_eq!(limits.held_bytes, 64 << 20, "the greatest default");
    assert_eq!(limits.connections, 2_050, "half of 4,100 descriptors");
    let unknown = check(&render_template(false))
        .expect("valid settings")
        .intake_bounds;
    assert_eq!(unknown.held_bytes, 64 << 20);
    let stated = rendered_template().replace(
        "memory_mb = 160",
        "memory_mb = 160\nheld_body_bytes = 1000000\nconnections = 100",
    );
    let limits = check(&stated).expect("valid settings").intake_bounds;
    assert_eq!((limits.held_bytes, limits.connections), (1_000_000, 100));
    let wrong = rendered_template().replace("memory_mb = 160", "connections = 0");
    let faults = check(&wrong).expect_err("invalid settings");
    assert_eq!(faults.0[0].key, "limits.connections");
}
