package controlplane

import "lichentray/registry"

// putIfUnchanged returns a transaction that writes a value under a key if the key still has the
// given revision. Revision 0 means that the key must not exist.
func putIfUnchanged(key string, modRevision uint64, value []byte) *registry.Txn {
	return &registry.Txn{
		If:   []registry.Compare{{Key: key, ModRevision: modRevision}},
		Then: []registry.Write{{Key: key, Value: value}},
	}
}

// deleteIfUnchanged returns a transaction that deletes an object if it is unchanged since it was
// read.
func deleteIfUnchanged(o registry.Object) *registry.Txn {
	return &registry.Txn{
		If:   []registry.Compare{{Key: o.Key, ModRevision: o.ModRevision}},
		Then: []registry.Write{{Key: o.Key, IsDelete: true}},
	}
}
