//! The course of a rank's burn over the last hour.

use serde::Serialize;

use crate::Window;

/// The burn of one rank per slot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// The rank's name.
    pub rank: String,
    /// One point per slot in which any service of the rank was used, the latest first.
    pub points: Vec<Point>,
}

/// The burn over one slot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Point {
    /// Minutes from the end of the slot until now.
    pub ago: u64,
    /// Counts and burn of the slot.
    pub window: Window,
}

/// Returns the window of a rank's point; series and point are inserted if they are new.
pub(crate) fn window_mut<'a>(series: &'a mut Vec<Series>, rank: &str, ago: u64) -> &'a mut Window {
    let index = series.iter().position(|one| one.rank == rank).unwrap_or_else(|| {
        series.push(Series { rank: rank.to_owned(), points: Vec::new() });
        series.len() - 1
    });
    let points = &mut series[index].points;
    let index = points.binary_search_by_key(&ago, |point| point.ago).unwrap_or_else(|index| {
        points.insert(index, Point { ago, window: Window::default() });
        index
    });
    &mut points[index].window
}
