package main

func lostAnswer(d *deployment, trouble bool) (bool, error) { return false, nil }
