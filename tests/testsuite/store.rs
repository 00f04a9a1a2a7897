//! What is written to the platform's store.

use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::store::{
    JOIN_REQUEST_PREFIX, TABLE_KEY, TRANSACTION_ENTRIES_MAX, Transaction,
};

#[test]
fn a_table_that_takes_many_in_fits_one_transaction() {
    // karite-sud-grown quiet-1: 74 processes left their wishes, and the store refused every table
    // that removed them all.
    let wishes = (0..74).map(|n| format!("{JOIN_REQUEST_PREFIX}{n}"));
    let transaction = Transaction::table_write(Revision(7), vec![1], wishes);
    assert_eq!(transaction.entry_count(), TRANSACTION_ENTRIES_MAX);
    assert_eq!(
        transaction.expected,
        [(TABLE_KEY.to_owned(), Revision(7))],
        "it follows the table that it was made from"
    );
    assert_eq!(transaction.puts.len(), 1);
}
