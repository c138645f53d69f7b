//! Column definitions of each table. Descriptions appear in help texts and documentation.

use super::{Access, Column, ColumnType};

/// Maximum of columns that the configuration stores as `u32`.
const MAXIMUM_U32: i64 = u32::MAX as i64;
/// Maximum of columns that the configuration stores as `u8`.
const MAXIMUM_U8: i64 = u8::MAX as i64;
/// Maximum of percentage columns.
const MAXIMUM_PERCENT: i64 = 100;

const fn column(
    name: &'static str,
    column_type: ColumnType,
    access: Access,
    description: &'static str,
) -> Column {
    Column {
        name,
        column_type,
        access,
        description,
    }
}

const fn key_text(name: &'static str, description: &'static str) -> Column {
    column(name, ColumnType::Text, Access::Key, description)
}

const fn text(name: &'static str, description: &'static str) -> Column {
    column(name, ColumnType::Text, Access::ReadOnly, description)
}

const fn integer(name: &'static str, description: &'static str) -> Column {
    column(name, ColumnType::Integer, Access::ReadOnly, description)
}

const fn real(name: &'static str, description: &'static str) -> Column {
    column(name, ColumnType::Real, Access::ReadOnly, description)
}

const fn boolean(name: &'static str, description: &'static str) -> Column {
    column(name, ColumnType::Boolean, Access::ReadOnly, description)
}

const fn set_text(name: &'static str, description: &'static str) -> Column {
    let access = Access::Writable { maximum: 0 };
    column(name, ColumnType::Text, access, description)
}

const fn set_boolean(name: &'static str, description: &'static str) -> Column {
    let access = Access::Writable { maximum: 0 };
    column(name, ColumnType::Boolean, access, description)
}

const fn set_integer(name: &'static str, maximum: i64, description: &'static str) -> Column {
    let access = Access::Writable { maximum };
    column(name, ColumnType::Integer, access, description)
}

const REVISION: Column = integer(
    "revision",
    "revision of the row's last change; in a change's WHERE it makes the change conditional",
);
const ZONE: Column = text("zone", "zone of the machine");
const REGION: Column = text("region", "region of the machine");
const ADDRESS: Column = text("address", "IP number and port");

pub(super) const SERVICES: &[Column] = &[
    key_text("name", "name that callers use"),
    set_text(
        "kind",
        "'completion' (model engines) or 'plain' (back ends)",
    ),
    set_text("model", "model, for kind 'completion'"),
    set_text("adapter", "adapter on top of the model, or NULL"),
    set_integer(
        "version",
        MAXIMUM_U32,
        "version of the model that is wanted, for kind 'completion'",
    ),
    set_text("pool", "pool of back ends, for kind 'plain'"),
    set_text("priority", "priority class of its requests"),
    set_boolean("repeatable", "whether a request may run more than once"),
    set_integer(
        "deadline_ms",
        i64::MAX,
        "time that a request may take in all, in milliseconds",
    ),
    set_integer(
        "rollout_percent",
        MAXIMUM_PERCENT,
        "share of its engines that a version change may take away at once, in per cent",
    ),
    REVISION,
];

pub(super) const MODELS: &[Column] = &[
    key_text("name", "name of the model"),
    set_integer("weights_mib", MAXIMUM_U32, "size of the weights in MiB"),
    set_integer(
        "engine_share_percent",
        MAXIMUM_PERCENT,
        "share of the engines that hold it, in per cent",
    ),
    REVISION,
];

pub(super) const ADAPTERS: &[Column] = &[
    text("name", "name of the adapter"),
    text("model", "model that it belongs to"),
    integer("services", "services that name it"),
    integer("engines", "engines that have it loaded"),
];

pub(super) const ENGINES: &[Column] = &[
    integer("id", "number of the machine"),
    text("name", "the machine's number as text, like 'engine-3'"),
    text("cell", "cell that orders it"),
    ZONE,
    REGION,
    ADDRESS,
    text(
        "state",
        "'live', 'leaving', 'draining', 'changing' or 'unreachable'",
    ),
    text(
        "role",
        "'prefill', 'decode' or 'mixed'; NULL while it changes",
    ),
    text("target_role", "role that its controller wants"),
    text("model", "model that it holds"),
    integer("version", "version of the model that it holds"),
    text("adapters", "adapters that it holds, separated by commas"),
    boolean("pinned", "whether an operator pinned its role"),
    integer("incarnation", "which life of the engine's process this is"),
    integer("waiting", "requests that wait for their prefill"),
    integer("running", "sequences that are being decoded"),
    integer(
        "waiting_prompt_tokens",
        "prompt tokens that wait for prefill",
    ),
    real("cache_used_percent", "KV cache in use, in per cent"),
    integer("observed_ms_ago", "age of these figures in milliseconds"),
    text("reason", "why it has this role and state"),
];

pub(super) const BACK_ENDS: &[Column] = &[
    integer("id", "number of the machine"),
    text("pool", "pool that it belongs to"),
    ZONE,
    REGION,
    ADDRESS,
    text("state", "'live', 'leaving' or 'unreachable'"),
    integer("running", "requests that the answering daemon has there"),
    integer(
        "observed_ms_ago",
        "time since its last answer in milliseconds; NULL, since it is not kept yet",
    ),
    text("reason", "why it is in this state"),
];

pub(super) const DAEMONS: &[Column] = &[
    integer("id", "number of the machine"),
    ZONE,
    REGION,
    ADDRESS,
    text("state", "'alive', 'suspect', 'leaving' or 'dead'"),
    integer("incarnation", "which life of the daemon's process this is"),
    integer(
        "configuration_revision",
        "revision in force there, as last heard",
    ),
    integer(
        "requests",
        "requests that it serves; NULL for others than the answering daemon",
    ),
    integer(
        "heard_ms_ago",
        "time since it was last heard of in milliseconds; NULL for others than the answering daemon",
    ),
];

pub(super) const CELLS: &[Column] = &[
    text("name", "name of the cell"),
    integer(
        "controller",
        "number of the daemon that orders its engines; NULL when there is none",
    ),
    integer("fencing_token", "token of the controller's orders"),
    integer("engines", "engines of the cell"),
    integer("prefill", "engines in role prefill"),
    integer("decode", "engines in role decode"),
    integer("mixed", "engines in role mixed"),
    integer("changing", "engines that are changing"),
    text("reason", "why the roles are split like this"),
];

pub(super) const DECISIONS: &[Column] = &[
    integer(
        "at_ms",
        "when, in milliseconds since the daemon that decided started",
    ),
    integer("daemon", "number of the daemon that decided"),
    text(
        "kind",
        "'placement', 'refusal', 'role', 'version', 'drain', 'authority' or 'configuration'",
    ),
    text(
        "subject",
        "what it is about: a request, an engine, a service",
    ),
    text("outcome", "what was chosen"),
    text("reason", "why"),
];

pub(super) const REQUESTS: &[Column] = &[
    text("id", "identity of the request"),
    text("service", "service that it names"),
    text("tenant", "tenant that sent it"),
    text("priority", "its priority class"),
    text("state", "'queued' or 'running'"),
    integer("back_end", "machine that runs it; NULL while it waits"),
    integer("attempts", "times that it was sent"),
    integer("age_ms", "time since it came in milliseconds"),
    integer("remaining_ms", "time until its deadline in milliseconds"),
    integer("prompt_tokens", "tokens of its prompt, as estimated"),
    integer(
        "output_tokens",
        "tokens that were passed on; NULL, since they are not counted yet",
    ),
];

pub(super) const CONFIGURATION: &[Column] = &[
    integer("daemon", "number of the daemon"),
    integer("revision", "revision that is in force there, as last heard"),
    boolean("current", "whether that is the newest revision known"),
    integer(
        "heard_ms_ago",
        "time since it was last heard of in milliseconds; NULL for others than the answering daemon",
    ),
];

pub(super) const TENANTS: &[Column] = &[
    key_text("name", "name of the tenant"),
    set_integer(
        "requests_per_second",
        MAXIMUM_U32,
        "limit over the whole system; 0: none",
    ),
    set_integer(
        "concurrency",
        MAXIMUM_U32,
        "requests at the same time over the whole system; 0: no limit",
    ),
    set_integer(
        "tokens_per_second",
        MAXIMUM_U32,
        "prompt and output tokens over the whole system; 0: no limit",
    ),
    set_integer(
        "weight",
        MAXIMUM_U32,
        "share among tenants of one priority under contention",
    ),
    REVISION,
];

pub(super) const PRIORITIES: &[Column] = &[
    key_text("name", "name of the class"),
    set_integer("level", MAXIMUM_U8, "0 is served first and shed last"),
    REVISION,
];

pub(super) const PINS: &[Column] = &[
    column(
        "engine",
        ColumnType::Integer,
        Access::Key,
        "number of the engine",
    ),
    set_text("role", "'prefill', 'decode' or 'mixed'"),
    REVISION,
];
