//! Markdown tables.

/// Prints a table with a title, column names and rows.
pub(crate) fn print_table(title: &str, columns: &[&str], rows: &[Vec<String>]) {
    println!("\n### {title}\n");
    println!("| {} |", columns.join(" | "));
    println!("|{}", " --- |".repeat(columns.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}
