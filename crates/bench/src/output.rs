//! Tables in Markdown.

/// Prints a table: a title, column names and rows.
pub(crate) fn table(title: &str, columns: &[&str], rows: &[Vec<String>]) {
    println!("\n### {title}\n");
    println!("| {} |", columns.join(" | "));
    println!("|{}", " --- |".repeat(columns.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}
