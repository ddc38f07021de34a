//! A map stored as a sorted vector.

/// A map that keeps its entries in one vector sorted by key, so that a look-up
/// is a binary search and a range is a slice.
#[derive(Clone, Debug)]
pub struct Table<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// Returns the value of `key`.
    pub fn value(&self, key: &K) -> Option<&V> {
        let index = self.position(key).ok()?;
        Some(&self.entries[index].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn value_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.position(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    /// Returns the value of `key`, inserting the default if there is none.
    pub fn value_or_default(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, V::default()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Sets the value of `key` and returns the one it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.position(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Removes and returns the entry with the smallest key.
    pub fn pop_first(&mut self) -> Option<(K, V)> {
        if self.entries.is_empty() { None } else { Some(self.entries.remove(0)) }
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        self.entries.retain(|(key, value)| keep(key, value));
    }

    /// Returns the entries whose keys are at least `start`, in key order.
    pub fn entries_from(&self, start: &K) -> &[(K, V)] {
        let index = self.position(start).unwrap_or_else(|index| index);
        &self.entries[index..]
    }

    /// Returns all entries in key order.
    pub fn entries(&self) -> &[(K, V)] {
        &self.entries
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the index of `key`, or as an error the index to insert it at.
    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(other, _)| other.cmp(key))
    }
}
