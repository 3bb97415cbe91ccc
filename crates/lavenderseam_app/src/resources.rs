//! Storage for the resources of an app.

use std::any::{Any, TypeId, type_name};
use std::collections::HashMap;
use std::sync::Arc;

use crate::Error;

/// Resources that plugins share, at most one of each type.
#[derive(Default)]
pub(crate) struct Resources {
    values: HashMap<TypeId, Arc<dyn Any + Send + Sync>>,
}

impl Resources {
    pub(crate) fn insert<T: Send + Sync + 'static>(&mut self, value: Arc<T>) {
        self.values.insert(TypeId::of::<T>(), value);
    }

    pub(crate) fn get<T: Send + Sync + 'static>(&self) -> Result<Arc<T>, Error> {
        let value = self.values.get(&TypeId::of::<T>()).cloned();
        value
            .and_then(|value| value.downcast().ok())
            .ok_or(Error::MissingResource(type_name::<T>()))
    }
}
