package controlplane

import "lichentray/registry"

// putIfUnchanged writes a value under a key that must still have the revision read;
// 0 stands for a key that must not exist.
func putIfUnchanged(key string, modRevision uint64, value []byte) *registry.Txn {
	return &registry.Txn{
		If:   []registry.Compare{{Key: key, ModRevision: modRevision}},
		Then: []registry.Write{{Key: key, Value: value}},
	}
}

// deleteIfUnchanged deletes an object that must still be as it was read.
func deleteIfUnchanged(o registry.Object) *registry.Txn {
	return &registry.Txn{
		If:   []registry.Compare{{Key: o.Key, ModRevision: o.ModRevision}},
		Then: []registry.Write{{Key: o.Key, IsDelete: true}},
	}
}
