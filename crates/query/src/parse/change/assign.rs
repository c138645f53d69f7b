//! Converts assigned values to typed patches.

use ponddrift_core::identifiers::InvalidName;
use ponddrift_core::{EngineRole, MachineId, ModelName, PriorityName, ServiceName, TenantName};

use crate::change::{
    Edit, ModelPatch, ObjectChange, PinPatch, PriorityPatch, ServiceKindName, ServicePatch,
    TenantPatch,
};
use crate::error::QueryError;
use crate::parse::literal::truncate_value;
use crate::parse::truncate;
use crate::schema::{Access, Column, ColumnType, Table};
use crate::value::Value;

/// A value assigned to a column.
pub(super) struct Assignment {
    pub(super) column: &'static Column,
    pub(super) value: Value,
}

/// Converts a key and assignments to a typed change of one row.
pub(super) fn build_object_change(
    table: Table,
    key: &Value,
    edit: Edit<Vec<Assignment>>,
) -> Result<ObjectChange, QueryError> {
    let key_column = table.key().ok_or(QueryError::ReadOnlyTable { table })?;
    match table {
        Table::Services => {
            let name: ServiceName = parse_name(key_column, key)?;
            Ok(ObjectChange::Service(name, build_edit(edit, set_service)?))
        }
        Table::Models => {
            let name: ModelName = parse_name(key_column, key)?;
            Ok(ObjectChange::Model(name, build_edit(edit, set_model)?))
        }
        Table::Tenants => {
            let name: TenantName = parse_name(key_column, key)?;
            Ok(ObjectChange::Tenant(name, build_edit(edit, set_tenant)?))
        }
        Table::Priorities => {
            let name: PriorityName = parse_name(key_column, key)?;
            Ok(ObjectChange::Priority(
                name,
                build_edit(edit, set_priority)?,
            ))
        }
        Table::Pins => {
            let engine = MachineId(bounded_number(key_column, key)?);
            Ok(ObjectChange::Pin(engine, build_edit(edit, set_pin)?))
        }
        _ => Err(QueryError::ReadOnlyTable { table }),
    }
}

/// Sets one column of a patch.
type SetColumn<P> = fn(&mut P, &Assignment) -> Result<(), QueryError>;

fn build_edit<P: Default>(
    edit: Edit<Vec<Assignment>>,
    set: SetColumn<P>,
) -> Result<Edit<P>, QueryError> {
    let patch = |assignments: Vec<Assignment>| {
        let mut patch = P::default();
        for assignment in &assignments {
            set(&mut patch, assignment)?;
        }
        Ok::<P, QueryError>(patch)
    };
    Ok(match edit {
        Edit::Insert(assignments) => Edit::Insert(patch(assignments)?),
        Edit::Update(assignments) => Edit::Update(patch(assignments)?),
        Edit::Delete => Edit::Delete,
    })
}

fn set_service(patch: &mut ServicePatch, assignment: &Assignment) -> Result<(), QueryError> {
    let Assignment { column, value } = assignment;
    match column.name {
        "kind" => patch.kind = Some(parse_kind(column, value)?),
        "model" => patch.model = Some(parse_name(column, value)?),
        "adapter" if *value == Value::Null => patch.adapter = Some(None),
        "adapter" => patch.adapter = Some(Some(parse_name(column, value)?)),
        "version" => patch.version = Some(bounded_number(column, value)?),
        "pool" => patch.pool = Some(parse_name(column, value)?),
        "priority" => patch.priority = Some(parse_name(column, value)?),
        "repeatable" => patch.repeatable = Some(boolean(column, value)?),
        "deadline_ms" => patch.deadline_ms = Some(bounded_number(column, value)?),
        "rollout_percent" => patch.rollout_percent = Some(bounded_number(column, value)?),
        _ => return Err(no_setter(Table::Services, column)),
    }
    Ok(())
}

fn set_model(patch: &mut ModelPatch, assignment: &Assignment) -> Result<(), QueryError> {
    let Assignment { column, value } = assignment;
    match column.name {
        "weights_mib" => patch.weights_mib = Some(bounded_number(column, value)?),
        "engine_share_percent" => patch.engine_share_percent = Some(bounded_number(column, value)?),
        _ => return Err(no_setter(Table::Models, column)),
    }
    Ok(())
}

fn set_tenant(patch: &mut TenantPatch, assignment: &Assignment) -> Result<(), QueryError> {
    let Assignment { column, value } = assignment;
    match column.name {
        "requests_per_second" => patch.requests_per_second = Some(bounded_number(column, value)?),
        "concurrency" => patch.concurrency = Some(bounded_number(column, value)?),
        "tokens_per_second" => patch.tokens_per_second = Some(bounded_number(column, value)?),
        "weight" => patch.weight = Some(bounded_number(column, value)?),
        _ => return Err(no_setter(Table::Tenants, column)),
    }
    Ok(())
}

fn set_priority(patch: &mut PriorityPatch, assignment: &Assignment) -> Result<(), QueryError> {
    let Assignment { column, value } = assignment;
    match column.name {
        "level" => patch.level = Some(bounded_number(column, value)?),
        _ => return Err(no_setter(Table::Priorities, column)),
    }
    Ok(())
}

fn set_pin(patch: &mut PinPatch, assignment: &Assignment) -> Result<(), QueryError> {
    let Assignment { column, value } = assignment;
    match column.name {
        "role" => patch.role = Some(parse_role(column, value)?),
        _ => return Err(no_setter(Table::Pins, column)),
    }
    Ok(())
}

/// Returns the error for a writable column without a setter, which only occurs if [`crate::schema`]
/// and this module are inconsistent.
fn no_setter(table: Table, column: &Column) -> QueryError {
    QueryError::ReadOnlyColumn {
        table,
        column: column.name,
    }
}

fn wrong_type(column: &'static Column, value: &Value) -> QueryError {
    QueryError::WrongType {
        column: column.name,
        expected: column.column_type,
        found: truncate_value(value),
    }
}

fn text<'a>(column: &'static Column, value: &'a Value) -> Result<&'a str, QueryError> {
    match value {
        Value::Text(text) => Ok(text),
        _ => Err(wrong_type(column, value)),
    }
}

fn parse_name<N>(column: &'static Column, value: &Value) -> Result<N, QueryError>
where
    N: std::str::FromStr<Err = InvalidName>,
{
    Ok(text(column, value)?.parse()?)
}

fn boolean(column: &'static Column, value: &Value) -> Result<bool, QueryError> {
    match value {
        Value::Boolean(value) => Ok(*value),
        _ => Err(wrong_type(column, value)),
    }
}

/// Converts a value to an integer from 0 to `maximum`.
pub(super) fn integer_in_range(
    column: &'static Column,
    value: &Value,
    maximum: i64,
) -> Result<u64, QueryError> {
    let out_of_range = || QueryError::OutOfRange {
        column: column.name,
        found: value.clone(),
        maximum,
    };
    match value {
        Value::Integer(number) if *number <= maximum => {
            u64::try_from(*number).map_err(|_negative| out_of_range())
        }
        Value::Integer(_) => Err(out_of_range()),
        _ => Err(wrong_type(column, value)),
    }
}

/// Converts a value to the configuration's integer type, checking the column's range.
fn bounded_number<N: TryFrom<u64>>(
    column: &'static Column,
    value: &Value,
) -> Result<N, QueryError> {
    debug_assert_eq!(column.column_type, ColumnType::Integer);
    let maximum = match column.access {
        Access::Writable { maximum } => maximum,
        Access::Key | Access::ReadOnly => i64::from(u32::MAX),
    };
    let number = integer_in_range(column, value, maximum)?;
    N::try_from(number).map_err(|_too_large| QueryError::OutOfRange {
        column: column.name,
        found: value.clone(),
        maximum,
    })
}

fn parse_kind(column: &'static Column, value: &Value) -> Result<ServiceKindName, QueryError> {
    match text(column, value)? {
        "completion" => Ok(ServiceKindName::Completion),
        "plain" => Ok(ServiceKindName::Plain),
        other => Err(unknown_value(column, other, "'completion' and 'plain'")),
    }
}

fn parse_role(column: &'static Column, value: &Value) -> Result<EngineRole, QueryError> {
    match text(column, value)? {
        "prefill" => Ok(EngineRole::Prefill),
        "decode" => Ok(EngineRole::Decode),
        "mixed" => Ok(EngineRole::Mixed),
        other => Err(unknown_value(
            column,
            other,
            "'prefill', 'decode' and 'mixed'",
        )),
    }
}

fn unknown_value(column: &'static Column, found: &str, allowed: &'static str) -> QueryError {
    QueryError::UnknownValue {
        column: column.name,
        found: truncate(found),
        allowed,
    }
}
