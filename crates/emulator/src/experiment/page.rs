//! The report as one self-contained HTML page with SVG plots.

use eyre::eyre;
use plotters::prelude::*;

use super::run::{PlannerOutcome, SeedReport};
use super::simulation::SeriesPoint;

const SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// One named line of a plot.
struct Line<'a> {
    name: &'a str,
    value: fn(&SeriesPoint) -> f64,
}

const DEMAND: [Line<'static>; 2] = [
    Line {
        name: "prompt tokens/s",
        value: |point| point.prompt_tokens,
    },
    Line {
        name: "output tokens/s x 10",
        value: |point| 10.0 * point.output_tokens,
    },
];
const ROLES: [Line<'static>; 4] = [
    Line {
        name: "prefill",
        value: |point| f64::from(point.serving.prefill),
    },
    Line {
        name: "decode",
        value: |point| f64::from(point.serving.decode),
    },
    Line {
        name: "mixed",
        value: |point| f64::from(point.serving.mixed),
    },
    Line {
        name: "away",
        value: |point| f64::from(point.away),
    },
];
const QUEUE: [Line<'static>; 1] = [Line {
    name: "prompt tokens waiting",
    value: |point| point.waiting_prompt_tokens as f64,
}];

/// Renders a page with plots of demand, roles, queue, and goodput by planner.
///
/// # Errors
/// When a plot cannot be drawn.
pub fn render(reports: &[SeedReport]) -> eyre::Result<String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Role planners</title>\n\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:0 1em;text-align:right}</style>\n\
         <h1>Role planners</h1>\n\
         <p>The oracle is the best plan found by a search that knows the trace.</p>\n",
    );
    for report in reports {
        page.push_str(&section(report)?);
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn section(report: &SeedReport) -> eyre::Result<String> {
    let mut text = format!(
        "<h2>{}, seed {}, load {:.2}, profile {}</h2>\n",
        report.scenario,
        report.seed,
        report.load,
        report.profile.as_str()
    );
    text.push_str(&bars(report)?);
    text.push_str(&table(report));
    if let Some(first) = report.planners.first() {
        text.push_str(&lines("Demand", &first.record.series, &DEMAND)?);
    }
    for planner in &report.planners {
        let name = planner.planner.as_str();
        let series = &planner.record.series;
        text.push_str(&lines(&format!("Roles: {name}"), series, &ROLES)?);
        text.push_str(&lines(&format!("Queue: {name}"), series, &QUEUE)?);
    }
    Ok(text)
}

fn table(report: &SeedReport) -> String {
    let row = |one: &PlannerOutcome| {
        format!(
            "<tr><td>{}<td>{:.4}<td>{}<td>{:.0}<td>{}<td>{}</tr>\n",
            one.planner.as_str(),
            one.figures.goodput,
            one.figures.role_changes,
            one.figures.engine_seconds_away,
            one.figures.lost,
            one.figures.doubled
        )
    };
    let rows: String = report.planners.iter().map(row).collect();
    format!(
        "<table><tr><th>planner<th>goodput<th>role changes<th>engine seconds away<th>lost<th>doubled</tr>\n{rows}</table>\n"
    )
}

fn bars(report: &SeedReport) -> eyre::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let count = report.planners.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption("Goodput by planner", ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..count.max(1.0), 0.0..1.0)
            .map_err(drawing)?;
        let name = |position: &f64| {
            let planner = report.planners.get(position.floor() as usize);
            planner.map_or_else(String::new, |one| one.planner.as_str().to_owned())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(report.planners.len())
            .x_label_formatter(&name)
            .draw()
            .map_err(drawing)?;
        let bar = |(index, one): (usize, &PlannerOutcome)| {
            let left = index as f64 + 0.2;
            let corners = [(left, 0.0), (left + 0.6, one.figures.goodput)];
            Rectangle::new(corners, BLUE.mix(0.6).filled())
        };
        chart
            .draw_series(report.planners.iter().enumerate().map(bar))
            .map_err(drawing)?;
        area.present().map_err(drawing)?;
    }
    Ok(svg)
}

fn lines(title: &str, series: &[SeriesPoint], lines: &[Line<'_>]) -> eyre::Result<String> {
    let end = series.last().map_or(1.0, |point| point.at.max(1.0));
    let values = lines
        .iter()
        .flat_map(|line| series.iter().map(|point| (line.value)(point)));
    let largest = values.fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..end, 0.0..largest * 1.05)
            .map_err(drawing)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .draw()
            .map_err(drawing)?;
        for (line, colour) in lines.iter().zip(COLOURS) {
            let points = series.iter().map(|point| (point.at, (line.value)(point)));
            chart
                .draw_series(LineSeries::new(points, colour))
                .map_err(drawing)?
                .label(line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()
            .map_err(drawing)?;
        area.present().map_err(drawing)?;
    }
    Ok(svg)
}

fn drawing(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("the plot cannot be drawn: {error}; run without --report")
}
