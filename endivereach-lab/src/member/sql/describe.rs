//! Inference of parameter types and result columns before a statement is executed.

use super::plan::Aggregate;
use super::plan::Expr;
use super::plan::Function;
use super::plan::Insert;
use super::plan::InsertSource;
use super::plan::Operator;
use super::plan::Output;
use super::plan::OutputColumn;
use super::plan::Plan;
use super::plan::Select;
use super::plan::SelectSource;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_COLUMN;
use crate::member::storage::table::Column;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;

/// The parameters and result columns of a prepared statement, as reported to the client.
#[derive(Clone, Debug, Default)]
pub struct Description {
    /// The types of the parameters, in the order of their numbers.
    pub parameters: Vec<ColumnType>,
    /// The result columns; `None` if the statement returns no rows.
    pub columns: Option<Vec<OutputColumn>>,
}

/// Infers the parameter types and result columns of `plan`. `schema` is the schema of the table
/// that `plan` refers to. `declared_types` are the object IDs of the parameter types that the
/// client declared; zero leaves the type unspecified.
///
/// # Errors
///
/// Returns an error when the plan refers to a column that doesn't exist.
pub fn describe(
    plan: &Plan,
    schema: Option<&TableSchema>,
    declared_types: &[u32],
) -> Result<Description, SqlError> {
    let mut inference = TypeInference {
        schema,
        parameters: Vec::new(),
    };
    for (index, oid) in declared_types.iter().enumerate() {
        if *oid != 0 {
            inference.record_parameter_type(index, Some(ColumnType::from_oid(*oid)));
        }
    }
    let columns = inference.visit_plan(plan)?;
    let parameters = inference.parameters.into_iter();
    Ok(Description {
        parameters: parameters
            .map(|it| it.unwrap_or(ColumnType::Text))
            .collect(),
        columns,
    })
}

/// Returns the result columns of `outputs` over a table with the given columns.
///
/// # Errors
///
/// Returns the errors of [`describe`].
pub fn output_columns(
    outputs: &[Output],
    columns: &[Column],
) -> Result<Vec<OutputColumn>, SqlError> {
    let schema = TableSchema {
        name: "".into(),
        columns: columns.to_vec(),
        primary_key: None,
    };
    let mut inference = TypeInference {
        schema: Some(&schema),
        parameters: Vec::new(),
    };
    inference.visit_outputs(outputs)
}

/// Returns the schema of the rows from `generate_series`, which have a single column.
pub(super) fn series_schema(column: &str) -> TableSchema {
    TableSchema {
        name: "generate_series".into(),
        columns: vec![Column {
            name: column.into(),
            column_type: ColumnType::Int4,
            unique: false,
            not_null: true,
        }],
        primary_key: None,
    }
}

struct TypeInference<'a> {
    schema: Option<&'a TableSchema>,
    parameters: Vec<Option<ColumnType>>,
}

impl TypeInference<'_> {
    fn record_parameter_type(&mut self, index: usize, column_type: Option<ColumnType>) {
        if self.parameters.len() <= index {
            self.parameters.resize(index + 1, None);
        }
        let known = &mut self.parameters[index];
        *known = known.or(column_type);
    }

    fn visit_plan(&mut self, plan: &Plan) -> Result<Option<Vec<OutputColumn>>, SqlError> {
        match plan {
            Plan::Select(select) => self.visit_select(select).map(Some),
            Plan::Insert(insert) => self.visit_insert(insert),
            Plan::Update(update) => {
                for assignment in &update.assignments {
                    let column_type = self.column(&assignment.column)?;
                    self.visit(&assignment.value, Some(column_type))?;
                }
                self.visit_filter(update.filter.as_ref())?;
                self.visit_returning(&update.returning)
            }
            Plan::Delete(delete) => {
                self.visit_filter(delete.filter.as_ref())?;
                self.visit_returning(&delete.returning)
            }
            Plan::Show { name } => Ok(Some(vec![OutputColumn {
                name: name.clone(),
                column_type: ColumnType::Text,
            }])),
            _ => Ok(None),
        }
    }

    fn visit_select(&mut self, select: &Select) -> Result<Vec<OutputColumn>, SqlError> {
        let series = match &select.source {
            SelectSource::Series(series) => {
                self.visit(&series.start, Some(ColumnType::Int4))?;
                self.visit(&series.end, Some(ColumnType::Int4))?;
                Some(series_schema(&series.column))
            }
            _ => None,
        };
        let mut source_inference = TypeInference {
            schema: series.as_ref().or(self.schema),
            parameters: std::mem::take(&mut self.parameters),
        };
        let columns = source_inference.visit_outputs(&select.outputs)?;
        source_inference.visit_filter(select.filter.as_ref())?;
        for key in &select.order_by {
            // The error is ignored because a sort key may refer to an output by name, which isn't a
            // column of the table.
            let _ = source_inference.visit(&key.expr, None);
        }
        for bound in select.limit.iter().chain(&select.offset) {
            source_inference.visit(bound, Some(ColumnType::Int8))?;
        }
        self.parameters = source_inference.parameters;
        Ok(columns)
    }

    fn visit_insert(&mut self, insert: &Insert) -> Result<Option<Vec<OutputColumn>>, SqlError> {
        let mut types = Vec::new();
        for name in &insert.columns {
            types.push(self.column(name)?);
        }
        if let Some(schema) = self.schema
            && insert.columns.is_empty()
        {
            types = schema.columns.iter().map(|it| it.column_type).collect();
        }
        match &insert.source {
            InsertSource::Values(rows) => {
                for row in rows {
                    for (index, value) in row.iter().enumerate() {
                        self.visit(value, types.get(index).copied())?;
                    }
                }
            }
            InsertSource::Select(_) => {}
        }
        self.visit_returning(&insert.returning)
    }

    fn visit_returning(
        &mut self,
        outputs: &[Output],
    ) -> Result<Option<Vec<OutputColumn>>, SqlError> {
        if outputs.is_empty() {
            return Ok(None);
        }
        self.visit_outputs(outputs).map(Some)
    }

    fn visit_filter(&mut self, filter: Option<&Expr>) -> Result<(), SqlError> {
        if let Some(filter) = filter {
            self.visit(filter, Some(ColumnType::Bool))?;
        }
        Ok(())
    }

    fn visit_outputs(&mut self, outputs: &[Output]) -> Result<Vec<OutputColumn>, SqlError> {
        let mut columns = Vec::new();
        for output in outputs {
            match output {
                Output::Wildcard => {
                    let all = self.schema.map_or(&[][..], |schema| &schema.columns);
                    columns.extend(all.iter().map(|column| OutputColumn {
                        name: column.name.clone(),
                        column_type: column.column_type,
                    }));
                }
                Output::Value { expr, name } => columns.push(OutputColumn {
                    name: name.clone(),
                    column_type: self.visit(expr, None)?.unwrap_or(ColumnType::Text),
                }),
                Output::Aggregate {
                    function,
                    expr,
                    name,
                } => {
                    let value_type = match expr {
                        Some(expr) => self.visit(expr, None)?,
                        None => None,
                    };
                    let column_type = match function {
                        Aggregate::Count | Aggregate::Sum => ColumnType::Int8,
                        Aggregate::Max | Aggregate::Min => value_type.unwrap_or(ColumnType::Text),
                    };
                    columns.push(OutputColumn {
                        name: name.clone(),
                        column_type,
                    });
                }
            }
        }
        Ok(columns)
    }

    fn column(&self, name: &str) -> Result<ColumnType, SqlError> {
        let schema = self.schema.map_or(&[][..], |schema| &schema.columns);
        let column = schema.iter().find(|column| &*column.name == name);
        column.map(|it| it.column_type).ok_or_else(|| {
            SqlError::new(
                UNDEFINED_COLUMN,
                format!("column \"{name}\" does not exist"),
            )
        })
    }

    /// Returns the type of `expr`, or `None` if it is unknown. A parameter without a type gets the
    /// `expected` one.
    fn visit(
        &mut self,
        expr: &Expr,
        expected: Option<ColumnType>,
    ) -> Result<Option<ColumnType>, SqlError> {
        match expr {
            Expr::Literal(value) => Ok((!value.is_null()).then(|| value.column_type())),
            Expr::Parameter(index) => {
                self.record_parameter_type(*index, expected);
                Ok(self.parameters[*index])
            }
            Expr::Column(name) => self.column(name).map(Some),
            Expr::Binary {
                operator,
                left,
                right,
            } => self.visit_binary(*operator, left, right),
            Expr::Not(operand) => {
                self.visit(operand, Some(ColumnType::Bool))?;
                Ok(Some(ColumnType::Bool))
            }
            Expr::Negate(operand) => self.visit(operand, expected),
            Expr::IsNull(operand) => {
                self.visit(operand, None)?;
                Ok(Some(ColumnType::Bool))
            }
            Expr::InList { expr, list } => {
                let column_type = self.visit(expr, None)?;
                for item in list {
                    self.visit(item, column_type)?;
                }
                Ok(Some(ColumnType::Bool))
            }
            Expr::Call {
                function,
                arguments,
            } => {
                for (index, argument) in arguments.iter().enumerate() {
                    self.visit(argument, function.argument_type(index))?;
                }
                Ok(Some(function.result_type()))
            }
            Expr::Cast { expr, to } => {
                self.visit(expr, Some(*to))?;
                Ok(Some(*to))
            }
        }
    }

    fn visit_binary(
        &mut self,
        operator: Operator,
        left: &Expr,
        right: &Expr,
    ) -> Result<Option<ColumnType>, SqlError> {
        let operand_type = match operator {
            Operator::And | Operator::Or => Some(ColumnType::Bool),
            Operator::Concat => Some(ColumnType::Text),
            _ => None,
        };
        let left_type = self.visit(left, operand_type)?;
        let right_type = self.visit(right, operand_type.or(left_type))?;
        if left_type.is_none() {
            self.visit(left, right_type)?;
        }
        Ok(match operator {
            Operator::Add
            | Operator::Subtract
            | Operator::Multiply
            | Operator::Divide
            | Operator::Modulo => left_type.max(right_type),
            Operator::Concat => Some(ColumnType::Text),
            _ => Some(ColumnType::Bool),
        })
    }
}

impl Function {
    fn argument_type(self, index: usize) -> Option<ColumnType> {
        match (self, index) {
            (
                Self::AdvisoryLock
                | Self::TryAdvisoryLock
                | Self::AdvisoryXactLock
                | Self::AdvisoryUnlock,
                _,
            ) => Some(ColumnType::Int8),
            (Self::CancelBackend | Self::TerminateBackend, _) | (Self::Repeat, 1) => {
                Some(ColumnType::Int4)
            }
            (Self::SetConfig, 2) => Some(ColumnType::Bool),
            _ => Some(ColumnType::Text),
        }
    }

    fn result_type(self) -> ColumnType {
        match self {
            Self::Sleep | Self::AdvisoryLock | Self::AdvisoryXactLock | Self::AdvisoryUnlockAll => {
                ColumnType::Void
            }
            Self::TryAdvisoryLock
            | Self::AdvisoryUnlock
            | Self::CancelBackend
            | Self::TerminateBackend
            | Self::IsInRecovery => ColumnType::Bool,
            Self::BackendPid | Self::Length => ColumnType::Int4,
            _ => ColumnType::Text,
        }
    }
}
