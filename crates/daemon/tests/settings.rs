//! Guards the precedence of the settings sources and the reporting of all faults at once.

use ponddrift_daemon::settings::{KeyAssignment, Profile, load, template};

fn assignment(text: &str) -> KeyAssignment {
    text.parse().expect("an assignment")
}

#[test]
fn the_template_is_accepted() {
    let settings = load(template(), &[]).expect("the template is in order");
    assert_eq!(settings.listen.gateway.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.planner.profile, Profile::Hanbit);
}

#[test]
fn every_commented_key_of_the_template_exists() {
    let uncommented: String = template()
        .lines()
        .map(|line| {
            line.strip_prefix("# ")
                .filter(|rest| rest.contains(" = "))
                .unwrap_or(line)
        })
        .map(|line| format!("{line}\n"))
        .collect();
    let settings = load(&uncommented, &[]).expect("all keys exist, with values in range");
    let defaults = load(template(), &[]).expect("the template is in order");
    assert_eq!(
        format!("{settings:?}"),
        format!("{defaults:?}"),
        "the defaults are as written"
    );
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = "[daemon]\nid = 0\nzoom = 3\n[listen]\ngateway = \"127.0.0.1:1\"\n\
                operator = \"127.0.0.1:1\"\npeer = \"localhost:4\"\n[control]\nlease_ms = 1000\n";
    let faults = load(text, &[]).expect_err("faulty");
    let keys: Vec<&str> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    for key in [
        "daemon.id",
        "daemon.zoom",
        "daemon.zone",
        "daemon.region",
        "listen.operator",
        "listen.peer",
        "platform.key_value",
        "platform.machine_list",
        "control.lease_ms",
    ] {
        assert!(keys.contains(&key), "no fault for {key} in {keys:?}");
    }
    assert_eq!(faults.0.len(), 9);
    assert!(faults.0.iter().all(|fault| !fault.remedy.is_empty()));
}

#[test]
fn flags_win_over_the_file() {
    let assignments = [
        assignment("daemon.zone=b"),
        assignment("planner.profile=head-office"),
    ];
    let settings = load(template(), &assignments).expect("in order");
    assert_eq!(settings.daemon.zone.as_str(), "b");
    assert_eq!(settings.planner.profile, Profile::HeadOffice);
}

#[test]
fn an_environment_variable_names_a_dotted_key() {
    let assignment = KeyAssignment::from_environment("PONDDRIFT_LISTEN__GATEWAY", "127.0.0.1:9");
    let settings = load(template(), &[assignment.expect("has the prefix")]).expect("in order");
    assert_eq!(settings.listen.gateway.port(), 9);
    assert_eq!(KeyAssignment::from_environment("HOME", "x"), None);
}

#[test]
fn any_text_gives_settings_or_faults() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = load(text, &[]);
    });
}
