//! Transactions on the platform's store.

use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::store::{
    JOIN_REQUEST_PREFIX, TABLE_KEY, TRANSACTION_ENTRIES_MAX, Transaction,
};
use foxtaildrift::process::store_position::StorePosition;
use foxtaildrift::version::store_era::StoreEra;

#[test]
fn a_table_that_admits_many_processes_fits_one_transaction() {
    // Found by karite-sud-grown quiet-1: 74 processes stored join requests, and the store refused
    // each transaction because it removed all of them and exceeded the maximum number of entries.
    let base = StorePosition::new(StoreEra(0), Revision(7));
    let join_requests = (0..74).map(|n| format!("{JOIN_REQUEST_PREFIX}{n}"));
    let transaction = Transaction::table_write(base, vec![1], join_requests);
    assert_eq!(transaction.entry_count(), TRANSACTION_ENTRIES_MAX);
    assert_eq!(
        transaction.expected,
        [(TABLE_KEY.to_owned(), base)],
        "the write must be conditional on the table that it was computed from"
    );
    assert_eq!(transaction.puts.len(), 1);
}
